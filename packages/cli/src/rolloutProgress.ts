import type {
  FleetConfiguration,
  ServiceConfiguration,
  VersionConfiguration,
} from '@burdockrail/fleet/fleetConfiguration.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';

/** Progress of the weights of one service in one data centre. */
export interface DataCentreProgress {
  readonly dataCentre: string;
  /** Upstreams that the configuration expects. */
  readonly expected: number;
  /** Upstreams that announce themselves. */
  readonly present: number;
  /** Upstreams that serve the version of the configuration. */
  readonly live: number;
  /** Chunks held over chunks needed, 0 to 1, over the expected upstreams. */
  readonly share: number;
}

/** Progress of the weights of one service. */
export interface ServiceProgress {
  readonly service: string;
  readonly model: string;
  readonly version: string;
  readonly dataCentres: readonly DataCentreProgress[];
}

/** Progress of all weights of a fleet. */
export interface RolloutProgress {
  readonly services: readonly ServiceProgress[];
  /** True when every expected upstream serves the version of the configuration. */
  readonly done: boolean;
}

/** Compares what upstreams announce with what a configuration asks for. */
export function rolloutProgress(
  fleet: FleetConfiguration,
  announcements: readonly Announcement[],
): RolloutProgress {
  const services = fleet.services.flatMap((service) =>
    service.weights === undefined ? [] : [serviceProgress(service, service.weights, announcements)],
  );
  const done = services.every((service) =>
    service.dataCentres.every((dataCentre) => dataCentre.live >= dataCentre.expected),
  );
  return { services, done };
}

/** Whether an upstream serves a version. */
export function servesVersion(announcement: Announcement, wanted: VersionConfiguration): boolean {
  const { serving } = announcement;
  return (
    serving?.model === wanted.model &&
    serving.version === wanted.version &&
    (wanted.digest === undefined || serving.digest === wanted.digest)
  );
}

function serviceProgress(
  service: ServiceConfiguration,
  weights: VersionConfiguration,
  announcements: readonly Announcement[],
): ServiceProgress {
  const ofService = announcements.filter((announcement) => announcement.service === service.name);
  const dataCentres = Object.entries(service.upstreams).map(([dataCentre, expected]) => {
    const here = ofService.filter((announcement) => announcement.dataCentre === dataCentre);
    return dataCentreProgress(dataCentre, expected, weights, here);
  });
  return { service: service.name, model: weights.model, version: weights.version, dataCentres };
}

function dataCentreProgress(
  dataCentre: string,
  expected: number,
  weights: VersionConfiguration,
  announcements: readonly Announcement[],
): DataCentreProgress {
  const shares = announcements.map((announcement) => heldShare(announcement, weights));
  const held = shares.reduce((sum, share) => sum + share, 0);
  return {
    dataCentre,
    expected,
    present: announcements.length,
    live: announcements.filter((announcement) => servesVersion(announcement, weights)).length,
    share: Math.min(1, held / Math.max(1, expected)),
  };
}

function heldShare(announcement: Announcement, weights: VersionConfiguration): number {
  if (servesVersion(announcement, weights)) return 1;
  const { rollout } = announcement;
  return rollout === undefined || rollout.chunks === 0 ? 0 : rollout.heldChunks / rollout.chunks;
}
