import type {
  FleetConfiguration,
  ServiceConfiguration,
  VersionConfiguration,
} from '@burdockrail/fleet/fleetConfiguration.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';

/** Rollout progress of one service in one data centre. */
export interface DataCentreProgress {
  readonly dataCentre: string;
  /** Number of upstreams that the configuration expects. */
  readonly expected: number;
  /** Number of upstreams that announce themselves. */
  readonly present: number;
  /** Number of upstreams that serve the configured version. */
  readonly live: number;
  /** Fraction of the required chunks that the expected upstreams hold, from 0 to 1. */
  readonly share: number;
}

/** Rollout progress of one service. */
export interface ServiceProgress {
  readonly service: string;
  readonly model: string;
  readonly version: string;
  readonly dataCentres: readonly DataCentreProgress[];
}

/** Rollout progress of all services of a fleet. */
export interface RolloutProgress {
  readonly services: readonly ServiceProgress[];
  /** True if every expected upstream serves the configured version. */
  readonly done: boolean;
}

/** Compares the announcements of upstreams with a configuration. */
export function computeRolloutProgress(
  fleet: FleetConfiguration,
  announcements: readonly Announcement[],
): RolloutProgress {
  const services = fleet.services.flatMap((service) =>
    service.weights === undefined
      ? []
      : [computeServiceProgress(service, service.weights, announcements)],
  );
  const done = services.every((service) =>
    service.dataCentres.every((dataCentre) => dataCentre.live >= dataCentre.expected),
  );
  return { services, done };
}

/** Whether an upstream serves a version. */
export function servesVersion(announcement: Announcement, version: VersionConfiguration): boolean {
  const { serving } = announcement;
  return (
    serving?.model === version.model &&
    serving.version === version.version &&
    (version.digest === undefined || serving.digest === version.digest)
  );
}

function computeServiceProgress(
  service: ServiceConfiguration,
  weights: VersionConfiguration,
  announcements: readonly Announcement[],
): ServiceProgress {
  const serviceAnnouncements = announcements.filter(
    (announcement) => announcement.service === service.name,
  );
  const dataCentres = Object.entries(service.upstreams).map(([dataCentre, expected]) => {
    const localAnnouncements = serviceAnnouncements.filter(
      (announcement) => announcement.dataCentre === dataCentre,
    );
    return computeDataCentreProgress(dataCentre, expected, weights, localAnnouncements);
  });
  return { service: service.name, model: weights.model, version: weights.version, dataCentres };
}

function computeDataCentreProgress(
  dataCentre: string,
  expected: number,
  weights: VersionConfiguration,
  announcements: readonly Announcement[],
): DataCentreProgress {
  const shares = announcements.map((announcement) => computeHeldShare(announcement, weights));
  const held = shares.reduce((sum, share) => sum + share, 0);
  return {
    dataCentre,
    expected,
    present: announcements.length,
    live: announcements.filter((announcement) => servesVersion(announcement, weights)).length,
    share: Math.min(1, held / Math.max(1, expected)),
  };
}

function computeHeldShare(announcement: Announcement, weights: VersionConfiguration): number {
  if (servesVersion(announcement, weights)) return 1;
  const { rollout } = announcement;
  return rollout === undefined || rollout.chunks === 0 ? 0 : rollout.heldChunks / rollout.chunks;
}
