import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';
import type { ControlPeer } from '@burdockrail/protocol/protocolDirectory.js';

/** Time for which a control process that failed or is behind is asked only when no better is left. */
const INITIAL_BACKOFF_MILLISECONDS = 2_000;

/** Longest such time after failures in a row; it doubles with each. */
const MAXIMUM_BACKOFF_MILLISECONDS = 8_000;

/** Costs by which control processes are ranked: one that answers, however late, beats one that does not. */
const RANK_PENALTY = { failed: 4, outdated: 2, remote: 1 } as const;

/** Reads `host:port`. */
export function parseAddress(text: string): Address {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}

/** Control processes that a process may ask, and which of them it should ask next. */
export interface ControlAddresses {
  readonly all: readonly string[];
  learn(peers: readonly ControlPeer[]): void;
  addSeeds(seeds: readonly Address[]): void;
  /** It did not answer. */
  failed(address: string, now: Milliseconds): void;
  /** It answered, but has not heard of a leader for a while. */
  outdated(address: string, now: Milliseconds): void;
  /** It answered. */
  answered(address: string): void;
  /** The one to ask: of those that answer, one in the own data centre if there is one. */
  choose(now: Milliseconds): string | undefined;
}

/** Creates the list from the seeds of the settings. */
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
    learn: (peers) => {
      if (peers.length === 0) return;
      dataCentres.clear();
      for (const peer of peers) dataCentres.set(peer.address, peer.dataCentre);
    },
    addSeeds: (added) => {
      for (const seed of added) seedAddresses.add(formatAddress(seed));
    },
    failed: (address, now) => {
      const previous =
        backoffs.get(address)?.durationMilliseconds ?? INITIAL_BACKOFF_MILLISECONDS / 2;
      const durationMilliseconds = Math.min(MAXIMUM_BACKOFF_MILLISECONDS, previous * 2);
      backoffs.set(address, { until: now + durationMilliseconds, durationMilliseconds });
      tieBreakers.set(address, randomDraw() / 2);
    },
    outdated: (address, now) => {
      outdatedUntil.set(address, now + INITIAL_BACKOFF_MILLISECONDS);
      tieBreakers.set(address, randomDraw() / 2);
    },
    answered: (address) => {
      backoffs.delete(address);
    },
    choose: (now) => {
      const ranked = allAddresses().map((address) => ({ address, rank: rank(address, now) }));
      ranked.sort((left, right) => left.rank - right.rank);
      return ranked[0]?.address;
    },
  };
}
