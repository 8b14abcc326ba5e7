import { createDirectory } from '@burdockrail/membership/directoryState.js';
import { createRegistrar, type Registrar } from '@burdockrail/membership/registrarState.js';
import type { Announcement, DirectoryUpdate } from '@burdockrail/protocol/protocolMembership.js';
import { encodeFrame } from '@burdockrail/transport/frameCodec.js';
import { decode, encode } from 'cbor-x';
import type { CapacityPoint } from './capacitySlope.js';

const BYTES_PER_UINT32 = 4;
const PREFIXES_PER_UPSTREAM = 32;
const QUERIES = 200;

/** Costs of the membership at several counts of upstreams. */
export interface MembershipCosts {
  /** Bytes of one full announcement on the wire. */
  readonly announcementBytes: number;
  /** Heap bytes of an entry's directory by count of upstreams. */
  readonly directoryBytes: readonly CapacityPoint[];
  /** Milliseconds to take a full copy by count of upstreams. */
  readonly fullCopyMilliseconds: readonly CapacityPoint[];
  /** Milliseconds to list the upstreams of one service by count of its upstreams. */
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

function filledRegistrar(upstreams: number): Registrar {
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

function measureSize(upstreams: number) {
  const frame = encode(filledRegistrar(upstreams).updateSince(0));
  const heapBefore = usedHeap();
  const directory = createDirectory();
  const startedAt = performance.now();
  directory.applyUpdate(decode(frame) as DirectoryUpdate, 0);
  const copied = performance.now() - startedAt;
  const heap = usedHeap() - heapBefore;
  const listedAt = performance.now();
  for (let query = 0; query < QUERIES; query += 1) directory.upstreamsOf('model', 0);
  const listed = (performance.now() - listedAt) / QUERIES;
  return { heap, copied, listed };
}

/** Measures the membership's pure parts; run with `--expose-gc` for steady heap figures. */
export function measureMembership(sizes: readonly number[]): MembershipCosts {
  measureSize(Math.max(...sizes));
  const measured = sizes.map((size) => ({ size, ...measureSize(size) }));
  return {
    announcementBytes: encodeFrame([2, 1, 'membership.announce', syntheticAnnouncement(1)]).length,
    directoryBytes: measured.map(({ size, heap }) => ({ size, cost: heap })),
    fullCopyMilliseconds: measured.map(({ size, copied }) => ({ size, cost: copied })),
    listMilliseconds: measured.map(({ size, listed }) => ({ size, cost: listed })),
  };
}
