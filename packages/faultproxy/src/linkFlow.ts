import type { Socket } from 'node:net';
import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import type { Milliseconds, TimeSource } from '@burdockrail/common/timeSource.js';
import { abortSocket } from './abortSocket.js';
import type { EventQueue } from './eventQueue.js';
import type { LinkBehaviour } from './linkRule.js';
import type { RateBucket } from './rateBucket.js';

/** Bytes of one flow inside the proxy before its sender is held back. */
const WINDOW_BYTES = 128 * 1024;

/** Time that one slice may occupy the slowest link of its path, in milliseconds. */
const SLICE_MILLISECONDS = 2;

const SMALLEST_SLICE_BYTES = 1_024;
const LARGEST_SLICE_BYTES = 64 * 1024;
const MILLISECONDS_PER_SECOND = 1_000;
const CORRUPT_UNIT_BYTES = 1_024;

/** One direction of a connection. */
export interface LinkFlow {
  /** Delivers what was held back, after the rules have changed. */
  release(): void;
  /** Connects the far end; what came before is delivered now. */
  connectTo(destination: Socket, twin: Socket | undefined): void;
}

/** What a flow needs of its surroundings. */
export interface LinkFlowOptions {
  readonly source: Socket;
  /** Links that the bytes pass in this order. */
  readonly path: readonly RateBucket[];
  readonly behaviour: () => LinkBehaviour;
  readonly events: EventQueue;
  readonly time: TimeSource;
  readonly random: SeededRandom;
  readonly onBytes: (bytes: number) => void;
}

/** Bytes, or the end of the connection in one of its two forms. */
type FlowItem =
  | { readonly kind: 'bytes'; readonly bytes: Buffer }
  | { readonly kind: 'end' }
  | { readonly kind: 'reset' };

function sliceBytes(path: readonly RateBucket[]): number {
  const rate = Math.min(Infinity, ...path.map((bucket) => bucket.bytesPerSecond));
  const bytes = (rate * SLICE_MILLISECONDS) / MILLISECONDS_PER_SECOND;
  return Math.floor(Math.max(SMALLEST_SLICE_BYTES, Math.min(LARGEST_SLICE_BYTES, bytes)));
}

function itemLength(item: FlowItem): number {
  return item.kind === 'bytes' ? item.bytes.length : 0;
}

/** Creates a flow that reads from its source at once. */
export function createLinkFlow(options: LinkFlowOptions): LinkFlow {
  const { source, path, events, time, random } = options;
  const sliceLength = sliceBytes(path);
  const held: FlowItem[] = [];
  let destination: Socket | undefined;
  let twin: Socket | undefined;
  let inside = 0;
  let lastArrival: Milliseconds = 0;

  const leave = (bytes: number): void => {
    inside -= bytes;
    if (inside < WINDOW_BYTES / 2 && source.isPaused()) source.resume();
  };

  const corrupted = (bytes: Buffer): Buffer => {
    const chance = (options.behaviour().corruptShare * bytes.length) / CORRUPT_UNIT_BYTES;
    if (chance === 0 || random.next() >= chance) return bytes;
    const copy = Buffer.from(bytes);
    const place = random.nextInteger(copy.length);
    copy[place] = (copy[place] ?? 0) ^ (1 << random.nextInteger(8));
    return copy;
  };

  const deliverBytes = (target: Socket, bytes: Buffer): void => {
    options.onBytes(bytes.length);
    const sent = corrupted(bytes);
    if (twin?.writable === true) twin.write(sent);
    if (!target.writable || target.write(sent)) {
      leave(bytes.length);
      return;
    }
    target.once('drain', () => {
      leave(bytes.length);
    });
  };

  const deliver = (item: FlowItem, target: Socket): void => {
    switch (item.kind) {
      case 'bytes':
        deliverBytes(target, item.bytes);
        return;
      case 'end':
        target.end();
        twin?.end();
        return;
      case 'reset':
        abortSocket(target);
        abortSocket(twin);
        return;
    }
  };

  const release = (): void => {
    if (destination === undefined || options.behaviour().cut) return;
    for (let item = held.shift(); item !== undefined; item = held.shift()) {
      deliver(item, destination);
    }
  };

  const arrive = (item: FlowItem): void => {
    held.push(item);
    release();
  };

  const travel = (item: FlowItem, at: Milliseconds): void => {
    const latency = options.behaviour().latencyMilliseconds;
    const due = Math.max(lastArrival, at + latency);
    lastArrival = due;
    if (due <= time.now() && latency === 0) arrive(item);
    else {
      events.at(due, () => {
        arrive(item);
      });
    }
  };

  const pass = (item: FlowItem, stage: number, now: Milliseconds): void => {
    const bucket = path[stage];
    if (bucket === undefined) {
      travel(item, now);
      return;
    }
    bucket.submit(source, itemLength(item), now, (at) => {
      pass(item, stage + 1, at);
    });
  };

  source.on('data', (bytes: Buffer) => {
    const now = time.now();
    inside += bytes.length;
    if (inside > WINDOW_BYTES) source.pause();
    for (let offset = 0; offset < bytes.length; offset += sliceLength) {
      pass({ kind: 'bytes', bytes: bytes.subarray(offset, offset + sliceLength) }, 0, now);
    }
  });
  source.on('end', () => {
    pass({ kind: 'end' }, 0, time.now());
  });
  source.on('error', () => {
    pass({ kind: 'reset' }, 0, time.now());
  });

  return {
    release,
    connectTo: (socket, second) => {
      destination = socket;
      twin = second;
      release();
    },
  };
}
