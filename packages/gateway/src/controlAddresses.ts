import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';
import type { ControlPeer } from '@burdockrail/protocol/protocolDirectory.js';

/** Initial time for which a failed or outdated control process is ranked lower, in milliseconds. */
const INITIAL_BACKOFF_MILLISECONDS = 2_000;

/** Maximum of that time, in milliseconds; it doubles with each consecutive failure. */
const MAXIMUM_BACKOFF_MILLISECONDS = 8_000;

/**
 * Penalties added to the rank of a control process; the lowest rank is asked first. An outdated
 * process is preferred to one that does not answer.
 */
const RANK_PENALTY = { failed: 4, outdated: 2, remote: 1 } as const;

/** Parses `host:port`. */
export function parseAddress(text: string): Address {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}

/** Known control processes, ranked by preference. */
export interface ControlAddresses {
  readonly all: readonly string[];
  /** Replaces the known control processes; an empty list is ignored. */
  replacePeers(peers: readonly ControlPeer[]): void;
  addSeeds(seeds: readonly Address[]): void;
  /** Records that a control process did not answer. */
  recordFailure(address: string, now: Milliseconds): void;
  /** Records an answer from a control process that has had no contact with a leader for a while. */
  recordOutdated(address: string, now: Milliseconds): void;
  /** Records an answer; ends the backoff. */
  recordAnswer(address: string): void;
  /** Selects the process to ask: preferably one that answers, in the same data centre. */
  choose(now: Milliseconds): string | undefined;
}

/** Creates the list from the seeds in the settings. */
export function createControlAddresses(
  seeds: readonly Address[],
  dataCentre: string,
  randomDraw: () => number,
): ControlAddresses {
  const seedAddresses = new Set(seeds.map(formatAddress));
  const dataCentres = new Map<string, string>();
  const backoffs = new Map<
    string,
    { readonly until: Milliseconds; readonly durationMilliseconds: number }
  >();
  const outdatedUntil = new Map<string, Milliseconds>();
  const tieBreakers = new Map<string, number>();
  const allAddresses = (): readonly string[] => [
    ...new Set([...seedAddresses, ...dataCentres.keys()]),
  ];

  const rank = (address: string, now: Milliseconds): number => {
    const failed = (backoffs.get(address)?.until ?? 0) > now ? RANK_PENALTY.failed : 0;
    const outdated = (outdatedUntil.get(address) ?? 0) > now ? RANK_PENALTY.outdated : 0;
    const remote = dataCentres.get(address) === dataCentre ? 0 : RANK_PENALTY.remote;
    const tieBreaker = tieBreakers.get(address) ?? randomDraw() / 2;
    tieBreakers.set(address, tieBreaker);
    return failed + outdated + remote + tieBreaker;
  };

  return {
    get all() {
      return allAddresses();
    },
    replacePeers: (peers) => {
      if (peers.length === 0) return;
      dataCentres.clear();
      for (const peer of peers) dataCentres.set(peer.address, peer.dataCentre);
    },
    addSeeds: (added) => {
      for (const seed of added) seedAddresses.add(formatAddress(seed));
    },
    recordFailure: (address, now) => {
      const previous =
        backoffs.get(address)?.durationMilliseconds ?? INITIAL_BACKOFF_MILLISECONDS / 2;
      const durationMilliseconds = Math.min(MAXIMUM_BACKOFF_MILLISECONDS, previous * 2);
      backoffs.set(address, { until: now + durationMilliseconds, durationMilliseconds });
      tieBreakers.set(address, randomDraw() / 2);
    },
    recordOutdated: (address, now) => {
      outdatedUntil.set(address, now + INITIAL_BACKOFF_MILLISECONDS);
      tieBreakers.set(address, randomDraw() / 2);
    },
    recordAnswer: (address) => {
      backoffs.delete(address);
    },
    choose: (now) => {
      const ranked = allAddresses().map((address) => ({ address, rank: rank(address, now) }));
      ranked.sort((left, right) => left.rank - right.rank);
      return ranked[0]?.address;
    },
  };
}
