import type { Socket } from 'node:net';
import { abortSocket } from '@burdockrail/common/abortSocket.js';
import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import type { Milliseconds, TimeSource } from '@burdockrail/common/timeSource.js';
import type { EventQueue } from './eventQueue.js';
import type { LinkBehaviour } from './linkRule.js';
import type { SharedLink } from './sharedLink.js';

/** Maximum number of buffered bytes of a flow before its source is paused. */
const WINDOW_BYTES = 128 * 1024;

/** Maximum time that a slice occupies the slowest link of its path, in milliseconds. */
const SLICE_MILLISECONDS = 2;

const MINIMUM_SLICE_BYTES = 1_024;
const MAXIMUM_SLICE_BYTES = 64 * 1024;
const MILLISECONDS_PER_SECOND = 1_000;
const CORRUPTION_UNIT_BYTES = 1_024;

/** One direction of a connection. */
export interface LinkFlow {
  /** Delivers held data after a change of rules. */
  release(): void;
  /** Sets the destination and delivers the data held so far. */
  connectTo(destination: Socket, duplicate: Socket | undefined): void;
}

/** Options of {@link createLinkFlow}. */
export interface LinkFlowOptions {
  readonly source: Socket;
  /** Links that the bytes pass, in order. */
  readonly path: readonly SharedLink[];
  readonly behaviour: () => LinkBehaviour;
  readonly events: EventQueue;
  readonly time: TimeSource;
  readonly random: SeededRandom;
  readonly onBytes: (bytes: number) => void;
}

/** Bytes, an orderly end, or a reset of the connection. */
type FlowItem =
  | { readonly kind: 'bytes'; readonly bytes: Buffer }
  | { readonly kind: 'end' }
  | { readonly kind: 'reset' };

function sliceLengthOf(path: readonly SharedLink[]): number {
  const rate = Math.min(Infinity, ...path.map((link) => link.bytesPerSecond));
  const bytes = (rate * SLICE_MILLISECONDS) / MILLISECONDS_PER_SECOND;
  return Math.floor(Math.max(MINIMUM_SLICE_BYTES, Math.min(MAXIMUM_SLICE_BYTES, bytes)));
}

function itemLength(item: FlowItem): number {
  return item.kind === 'bytes' ? item.bytes.length : 0;
}

/** Creates a flow and starts to read from its source. */
export function createLinkFlow(options: LinkFlowOptions): LinkFlow {
  const { source, path, events, time, random } = options;
  const sliceLength = sliceLengthOf(path);
  const heldItems: FlowItem[] = [];
  let destination: Socket | undefined;
  let duplicate: Socket | undefined;
  let bufferedBytes = 0;
  let lastDueAt: Milliseconds = 0;

  const removeBuffered = (bytes: number): void => {
    bufferedBytes -= bytes;
    if (bufferedBytes < WINDOW_BYTES / 2 && source.isPaused()) source.resume();
  };

  const corruptRandomly = (bytes: Buffer): Buffer => {
    const probability = (options.behaviour().corruptShare * bytes.length) / CORRUPTION_UNIT_BYTES;
    if (probability === 0 || random.next() >= probability) return bytes;
    const copy = Buffer.from(bytes);
    const index = random.nextInteger(copy.length);
    copy[index] = (copy[index] ?? 0) ^ (1 << random.nextInteger(8));
    return copy;
  };

  const deliverBytes = (target: Socket, bytes: Buffer): void => {
    options.onBytes(bytes.length);
    const sent = corruptRandomly(bytes);
    if (duplicate?.writable === true) duplicate.write(sent);
    if (!target.writable || target.write(sent)) {
      removeBuffered(bytes.length);
      return;
    }
    target.once('drain', () => {
      removeBuffered(bytes.length);
    });
  };

  const deliver = (item: FlowItem, target: Socket): void => {
    switch (item.kind) {
      case 'bytes':
        deliverBytes(target, item.bytes);
        return;
      case 'end':
        target.end();
        duplicate?.end();
        return;
      case 'reset':
        abortSocket(target);
        abortSocket(duplicate);
        return;
    }
  };

  const release = (): void => {
    if (destination === undefined || options.behaviour().cut) return;
    for (let item = heldItems.shift(); item !== undefined; item = heldItems.shift()) {
      deliver(item, destination);
    }
  };

  const arrive = (item: FlowItem): void => {
    heldItems.push(item);
    release();
  };

  const applyLatency = (item: FlowItem, at: Milliseconds): void => {
    const latency = options.behaviour().latencyMilliseconds;
    const dueAt = Math.max(lastDueAt, at + latency);
    lastDueAt = dueAt;
    if (dueAt <= time.now() && latency === 0) arrive(item);
    else {
      events.schedule(dueAt, () => {
        arrive(item);
      });
    }
  };

  const sendOverPath = (item: FlowItem, linkIndex: number, now: Milliseconds): void => {
    const link = path[linkIndex];
    if (link === undefined) {
      applyLatency(item, now);
      return;
    }
    link.submit(source, itemLength(item), now, (at) => {
      sendOverPath(item, linkIndex + 1, at);
    });
  };

  source.on('data', (bytes: Buffer) => {
    const now = time.now();
    bufferedBytes += bytes.length;
    if (bufferedBytes > WINDOW_BYTES) source.pause();
    for (let offset = 0; offset < bytes.length; offset += sliceLength) {
      sendOverPath({ kind: 'bytes', bytes: bytes.subarray(offset, offset + sliceLength) }, 0, now);
    }
  });
  source.on('end', () => {
    sendOverPath({ kind: 'end' }, 0, time.now());
  });
  source.on('error', () => {
    sendOverPath({ kind: 'reset' }, 0, time.now());
  });

  return {
    release,
    connectTo: (socket, duplicateSocket) => {
      destination = socket;
      duplicate = duplicateSocket;
      release();
    },
  };
}
