import type { System } from '@burdockrail/harness/system.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';

/** Rollout progress of a version in one data centre. */
export interface DataCentreProgress {
  readonly dataCentre: string;
  /** Upstreams that serve the version. */
  readonly live: number;
  readonly upstreams: number;
  /** Share of the chunks received, 0 to 1, as a mean over the upstreams. */
  readonly receivedShare: number;
}

const BAR_CHARACTERS = 20;

function receivedShareOf(announcement: Announcement, digest: string): number {
  if (announcement.serving?.digest === digest) return 1;
  const { rollout } = announcement;
  return rollout?.digest === digest ? rollout.heldChunks / rollout.chunks : 0;
}

/** Rollout progress of a version according to one entry. */
export async function rolloutProgress(
  system: System,
  entry: string,
  service: string,
  digest: string,
): Promise<readonly DataCentreProgress[]> {
  const announcements = await system.operator.upstreams(system.machine(entry).advertise);
  return system.layout.dataCentres.map(({ name }) => {
    const upstreams = system.agentsOf(service).filter(({ dataCentre }) => dataCentre === name);
    const present = announcements.filter(
      (each) => each.service === service && each.dataCentre === name,
    );
    const received = present.reduce((sum, each) => sum + receivedShareOf(each, digest), 0);
    return {
      dataCentre: name,
      live: present.filter((each) => each.ready && each.serving?.digest === digest).length,
      upstreams: upstreams.length,
      receivedShare: upstreams.length === 0 ? 1 : received / upstreams.length,
    };
  });
}

/** Formats progress as one line with a bar per data centre. */
export function progressLine(progress: readonly DataCentreProgress[]): string {
  return progress
    .map(({ dataCentre, live, upstreams, receivedShare }) => {
      const filled = Math.round(receivedShare * BAR_CHARACTERS);
      const bar = '#'.repeat(filled).padEnd(BAR_CHARACTERS, '.');
      return `${dataCentre} [${bar}] ${live}/${upstreams} live`;
    })
    .join('  ');
}

/** Whether all upstreams serve the version. */
export function isLiveEverywhere(progress: readonly DataCentreProgress[]): boolean {
  return progress.every(({ live, upstreams }) => live >= upstreams);
}
