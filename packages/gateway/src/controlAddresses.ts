import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';
import type { ControlPeer } from '@burdockrail/protocol/protocolDirectory.js';

/** Time for which a control process that failed or is behind is asked only when no better is left. */
const AVOID_MILLISECONDS = 2_000;

/** Longest such time after failures in a row; it doubles with each. */
const LONGEST_AVOID_MILLISECONDS = 8_000;

/** Costs by which control processes are ranked: one that answers, however late, beats one that does not. */
const COST = { failed: 4, outdated: 2, remote: 1 } as const;

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
  draw: () => number,
): ControlAddresses {
  const seedTexts = new Set(seeds.map(formatAddress));
  const dataCentres = new Map<string, string>();
  const failures = new Map<string, { readonly until: Milliseconds; readonly length: number }>();
  const outdatedUntil = new Map<string, Milliseconds>();
  const order = new Map<string, number>();
  const known = (): readonly string[] => [...new Set([...seedTexts, ...dataCentres.keys()])];

  const rank = (address: string, now: Milliseconds): number => {
    const failed = (failures.get(address)?.until ?? 0) > now ? COST.failed : 0;
    const outdated = (outdatedUntil.get(address) ?? 0) > now ? COST.outdated : 0;
    const remote = dataCentres.get(address) === dataCentre ? 0 : COST.remote;
    const tie = order.get(address) ?? draw() / 2;
    order.set(address, tie);
    return failed + outdated + remote + tie;
  };

  return {
    get all() {
      return known();
    },
    learn: (peers) => {
      if (peers.length === 0) return;
      dataCentres.clear();
      for (const peer of peers) dataCentres.set(peer.address, peer.dataCentre);
    },
    addSeeds: (more) => {
      for (const seed of more) seedTexts.add(formatAddress(seed));
    },
    failed: (address, now) => {
      const former = failures.get(address)?.length ?? AVOID_MILLISECONDS / 2;
      const length = Math.min(LONGEST_AVOID_MILLISECONDS, former * 2);
      failures.set(address, { until: now + length, length });
      order.set(address, draw() / 2);
    },
    outdated: (address, now) => {
      outdatedUntil.set(address, now + AVOID_MILLISECONDS);
      order.set(address, draw() / 2);
    },
    answered: (address) => {
      failures.delete(address);
    },
    choose: (now) => {
      const ranked = known().map((address) => ({ address, rank: rank(address, now) }));
      ranked.sort((left, right) => left.rank - right.rank);
      return ranked[0]?.address;
    },
  };
}
