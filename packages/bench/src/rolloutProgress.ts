import type { System } from '@burdockrail/harness/system.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';

/** How far a version has come in one data centre. */
export interface DataCentreProgress {
  readonly dataCentre: string;
  /** Upstreams that serve the version. */
  readonly live: number;
  readonly upstreams: number;
  /** Share of the chunks that have arrived, 0 to 1, over all upstreams. */
  readonly held: number;
}

const BAR_CHARACTERS = 20;

function heldShare(announcement: Announcement, digest: string): number {
  if (announcement.serving?.digest === digest) return 1;
  const { rollout } = announcement;
  return rollout?.digest === digest ? rollout.heldChunks / rollout.chunks : 0;
}

/** Progress of a version as one entry sees it. */
export async function rolloutProgress(
  system: System,
  entry: string,
  service: string,
  digest: string,
): Promise<readonly DataCentreProgress[]> {
  const known = await system.operator.upstreams(system.machine(entry).advertise);
  return system.layout.dataCentres.map(({ name }) => {
    const upstreams = system.agentsOf(service).filter(({ dataCentre }) => dataCentre === name);
    const present = known.filter((one) => one.service === service && one.dataCentre === name);
    const held = present.reduce((sum, one) => sum + heldShare(one, digest), 0);
    return {
      dataCentre: name,
      live: present.filter((one) => one.ready && one.serving?.digest === digest).length,
      upstreams: upstreams.length,
      held: upstreams.length === 0 ? 1 : held / upstreams.length,
    };
  });
}

/** One line for people. */
export function progressLine(progress: readonly DataCentreProgress[]): string {
  return progress
    .map(({ dataCentre, live, upstreams, held }) => {
      const full = Math.round(held * BAR_CHARACTERS);
      const bar = '#'.repeat(full).padEnd(BAR_CHARACTERS, '.');
      return `${dataCentre} [${bar}] ${live}/${upstreams} live`;
    })
    .join('  ');
}

/** Whether every upstream serves the version. */
export function isLiveEverywhere(progress: readonly DataCentreProgress[]): boolean {
  return progress.every(({ live, upstreams }) => live >= upstreams);
}
