import { createDirectory } from '@burdockrail/membership/directoryState.js';
import { createRegistrar, type Registrar } from '@burdockrail/membership/registrarState.js';
import type { Announcement, DirectoryUpdate } from '@burdockrail/protocol/protocolMembership.js';
import { encodeFrame } from '@burdockrail/transport/frameCodec.js';
import { decode, encode } from 'cbor-x';
import type { CapacityPoint } from './linearFit.js';

const BYTES_PER_UINT32 = 4;
const PREFIXES_PER_UPSTREAM = 32;
const QUERIES = 200;

/** Costs of the membership data structures by number of upstreams. */
export interface MembershipCosts {
  /** Encoded size of one full announcement. */
  readonly announcementBytes: number;
  /** Heap size of an entry's directory, in bytes, by number of upstreams. */
  readonly directoryBytes: readonly CapacityPoint[];
  /** Time to decode and apply a full copy, in milliseconds, by number of upstreams. */
  readonly fullCopyMilliseconds: readonly CapacityPoint[];
  /** Time to list the upstreams of one service, in milliseconds, by their number. */
  readonly listMilliseconds: readonly CapacityPoint[];
}

function syntheticAnnouncement(number: number): Announcement {
  const hex = number.toString(16).padStart(2 * BYTES_PER_UINT32, '0');
  return {
    agent: `agent-${number}`,
    incarnation: hex + hex,
    sequence: 1,
    dataCentre: `data-centre-${number % 24}`,
    region: `region-${number % 6}`,
    address: { host: '127.0.0.1', port: number % 65_536 },
    service: 'model',
    state: 'present',
    ready: true,
    serving: { model: 'model', version: '1', digest: hex.repeat(8), adapters: [] },
    load: { running: 1, waiting: 0, capacity: 8, cacheUse: 0.5 },
    prefixes: Array.from({ length: PREFIXES_PER_UPSTREAM }, (_, place) => `${hex}${place}`),
  };
}

function createFilledRegistrar(upstreams: number): Registrar {
  const registrar = createRegistrar({ name: 'registrar', incarnation: 'one' });
  for (let number = 0; number < upstreams; number += 1) {
    registrar.announce(syntheticAnnouncement(number), 0);
  }
  return registrar;
}

function usedHeap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function measureUpstreams(upstreams: number) {
  const frame = encode(createFilledRegistrar(upstreams).updateSince(0));
  const heapBefore = usedHeap();
  const directory = createDirectory();
  const startedAt = performance.now();
  directory.applyUpdate(decode(frame) as DirectoryUpdate, 0);
  const copyMilliseconds = performance.now() - startedAt;
  const heapBytes = usedHeap() - heapBefore;
  const listStartedAt = performance.now();
  for (let query = 0; query < QUERIES; query += 1) directory.upstreamsOf('model', 0);
  const listMilliseconds = (performance.now() - listStartedAt) / QUERIES;
  return { heapBytes, copyMilliseconds, listMilliseconds };
}

/** Measures membership without any I/O; run with `--expose-gc` for stable heap sizes. */
export function measureMembership(sizes: readonly number[]): MembershipCosts {
  measureUpstreams(Math.max(...sizes));
  const measured = sizes.map((size) => ({ size, ...measureUpstreams(size) }));
  return {
    announcementBytes: encodeFrame([2, 1, 'membership.announce', syntheticAnnouncement(1)]).length,
    directoryBytes: measured.map(({ size, heapBytes }) => ({ size, cost: heapBytes })),
    fullCopyMilliseconds: measured.map(({ size, copyMilliseconds }) => ({
      size,
      cost: copyMilliseconds,
    })),
    listMilliseconds: measured.map(({ size, listMilliseconds }) => ({
      size,
      cost: listMilliseconds,
    })),
  };
}
