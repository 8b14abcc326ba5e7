import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';
import type { ControlPeer } from '@burdockrail/protocol/protocolDirectory.js';

/** Time for which a control process that failed is asked only when no other is left. */
const AVOID_MILLISECONDS = 2_000;

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
  failed(address: string, now: Milliseconds): void;
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
  const avoidedUntil = new Map<string, Milliseconds>();
  const order = new Map<string, number>();
  const known = (): readonly string[] => [...new Set([...seedTexts, ...dataCentres.keys()])];

  const rank = (address: string, now: Milliseconds): number => {
    const avoided = (avoidedUntil.get(address) ?? 0) > now ? 2 : 0;
    const remote = dataCentres.get(address) === dataCentre ? 0 : 1;
    const tie = order.get(address) ?? draw() / 2;
    order.set(address, tie);
    return avoided + remote + tie;
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
      avoidedUntil.set(address, now + AVOID_MILLISECONDS);
      order.set(address, draw() / 2);
    },
    choose: (now) => {
      const ranked = known().map((address) => ({ address, rank: rank(address, now) }));
      ranked.sort((left, right) => left.rank - right.rank);
      return ranked[0]?.address;
    },
  };
}
