import { once } from 'node:events';
import type { Socket } from 'node:net';
import type { ByteBudget } from '@burdockrail/common/byteBudget.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError, toResultError } from '@burdockrail/common/outcome.js';
import type { PeerIdentity } from '@burdockrail/protocol/protocolAddress.js';
import type {
  CallKind,
  NotificationKind,
  PeerCalls,
  PeerNotifications,
  PeerStreams,
  StreamKind,
} from '@burdockrail/protocol/protocolKinds.js';
import { createFrameReader, encodeFrame, MAXIMUM_FRAME_BYTES } from './frameCodec.js';
import { createItemQueue, type ItemQueue } from './itemQueue.js';
import { fromWireKind, toWireKind } from './messageKinds.js';
import { FrameKind, isPeerFrame, type PeerFrame } from './peerFrame.js';
import type { TrafficMeter } from './trafficMeter.js';
import type { PeerContext, PeerHandlers, StreamSink } from './peerHandlers.js';

/** Limits on one call or stream. */
export interface CallOptions {
  readonly timeoutMilliseconds: number;
  readonly signal?: AbortSignal;
}

/** Bytes sent and received on a connection. */
export interface ConnectionCounters {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** A connection between two processes; both sides can call, stream and notify. */
export interface PeerConnection extends AsyncDisposable {
  /** Identity of the remote peer; rejects if the connection closes before it arrives. */
  readonly peer: Promise<PeerIdentity>;
  readonly closed: Promise<void>;
  readonly counters: ConnectionCounters;
  call<Kind extends CallKind>(
    kind: Kind,
    request: PeerCalls[Kind]['request'],
    options: CallOptions,
  ): Promise<PeerCalls[Kind]['reply']>;
  /** Opens a stream; ending the iteration early cancels the stream at the remote peer. */
  stream<Kind extends StreamKind>(
    kind: Kind,
    request: PeerStreams[Kind]['request'],
    options: Partial<CallOptions>,
  ): AsyncIterable<PeerStreams[Kind]['item']>;
  notify<Kind extends NotificationKind>(kind: Kind, message: PeerNotifications[Kind]): void;
  /** True once its client opens another connection for new messages. */
  readonly isRetired: boolean;
  /** Leaves the connection to the calls and streams in progress, after which it closes. */
  retire(): void;
  /** Closes the connection immediately. */
  destroy(): void;
}

interface PendingCall {
  readonly settle: (reply: unknown, error?: ResultError) => void;
}

type AnyCallHandler = (request: unknown, context: PeerContext) => Promise<unknown>;
type AnyStreamHandler = (
  request: unknown,
  sink: StreamSink<unknown>,
  context: PeerContext,
) => Promise<void>;
type AnyNotificationHandler = (message: unknown, context: PeerContext) => void;

/** Kind of the calls that show that a connection is alive. */
const PING_KIND: CallKind = 'connection.ping';

/** Kind under which the traffic meter counts frames that belong to no message. */
const CONNECTION_KIND = 'connection';

/**
 * Runs the frame protocol on a socket.
 *
 * @param meter - counts the bytes that this side sends.
 * @param frameBudget - memory for frames that have not arrived completely.
 */
export function createPeerConnection(
  socket: Socket,
  identity: PeerIdentity,
  handlers: PeerHandlers,
  meter?: TrafficMeter,
  frameBudget?: ByteBudget,
): PeerConnection {
  const reader = createFrameReader(MAXIMUM_FRAME_BYTES, frameBudget);
  const pendingCalls = new Map<number, PendingCall>();
  const openStreams = new Map<number, ItemQueue>();
  const activeHandlers = new Map<number, AbortController>();
  let nextId = 1;
  let isRetired = false;
  let peerIdentity: PeerIdentity | null = null;
  let resolvePeer: (peer: PeerIdentity) => void = () => undefined;
  let rejectPeer: (error: Error) => void = () => undefined;
  const peer = new Promise<PeerIdentity>((resolve, reject) => {
    resolvePeer = resolve;
    rejectPeer = reject;
  });
  peer.catch(() => undefined);

  const send = (frame: PeerFrame, kind: string): boolean => {
    if (socket.destroyed || socket.writableEnded) return false;
    const bytes = encodeFrame(frame);
    meter?.add(kind, bytes.length);
    return socket.write(bytes);
  };

  const closeIfUnused = (): void => {
    const inProgress = pendingCalls.size + openStreams.size + activeHandlers.size;
    if (isRetired && inProgress === 0) socket.destroy();
  };

  const answerPing = async (): Promise<Record<string, never>> => Promise.resolve({});

  const contextFor = (controller: AbortController): PeerContext => ({
    peer: peerIdentity ?? { name: 'unknown', incarnation: '', dataCentre: '', roles: [] },
    signal: controller.signal,
  });

  const sendError = (id: number, kind: string, error: unknown): void => {
    const result = toResultError(error, ResultCode.InternalError);
    send([FrameKind.Error, id, result.code, result.message], kind);
  };

  const runCall = async (id: number, kind: string, request: unknown): Promise<void> => {
    const handler = (kind === PING_KIND ? answerPing : handlers.calls[kind as CallKind]) as
      AnyCallHandler | undefined;
    const controller = new AbortController();
    activeHandlers.set(id, controller);
    try {
      if (handler === undefined) throw new ResultError(ResultCode.UnknownMessage, kind);
      send([FrameKind.Reply, id, await handler(request, contextFor(controller))], kind);
    } catch (error) {
      sendError(id, kind, error);
    } finally {
      activeHandlers.delete(id);
      closeIfUnused();
    }
  };

  const runStream = async (id: number, kind: string, request: unknown): Promise<void> => {
    const handler = handlers.streams[kind as StreamKind] as AnyStreamHandler | undefined;
    const controller = new AbortController();
    activeHandlers.set(id, controller);
    const sink: StreamSink<unknown> = {
      write: async (item) => {
        if (controller.signal.aborted) throw new ResultError(ResultCode.ConnectionLost);
        const ready = send([FrameKind.StreamItem, id, item], kind);
        if (!ready && !socket.destroyed) await once(socket, 'drain', { signal: controller.signal });
      },
    };
    try {
      if (handler === undefined) throw new ResultError(ResultCode.UnknownMessage, kind);
      await handler(request, sink, contextFor(controller));
      send([FrameKind.StreamEnd, id], kind);
    } catch (error) {
      sendError(id, kind, error);
    } finally {
      activeHandlers.delete(id);
      closeIfUnused();
    }
  };

  const runNotification = (kind: string, message: unknown): void => {
    const handler = handlers.notifications[kind as NotificationKind] as
      AnyNotificationHandler | undefined;
    handler?.(message, contextFor(new AbortController()));
  };

  const failPending = (id: number, code: ResultCode, detail: string): void => {
    const error = new ResultError(code, detail);
    pendingCalls.get(id)?.settle(undefined, error);
    openStreams.get(id)?.end(error);
  };

  const receive = (frame: PeerFrame): void => {
    switch (frame[0]) {
      case FrameKind.Hello:
        peerIdentity = frame[1];
        resolvePeer(frame[1]);
        return;
      case FrameKind.Notification:
        runNotification(fromWireKind(frame[1]), frame[2]);
        return;
      case FrameKind.Call:
        void runCall(frame[1], fromWireKind(frame[2]), frame[3]);
        return;
      case FrameKind.Reply:
        pendingCalls.get(frame[1])?.settle(frame[2]);
        return;
      case FrameKind.Error:
        failPending(frame[1], frame[2], frame[3]);
        return;
      case FrameKind.StreamOpen:
        void runStream(frame[1], fromWireKind(frame[2]), frame[3]);
        return;
      case FrameKind.StreamItem:
        openStreams.get(frame[1])?.push(frame[2]);
        return;
      case FrameKind.StreamEnd:
        openStreams.get(frame[1])?.end();
        return;
      case FrameKind.Cancel:
        activeHandlers.get(frame[1])?.abort();
        return;
    }
  };

  socket.setNoDelay(true);
  socket.on('data', (bytes: Buffer) => {
    try {
      for (const message of reader.push(bytes)) {
        if (!isPeerFrame(message)) throw new ResultError(ResultCode.MessageMalformed);
        receive(message);
      }
    } catch {
      socket.destroy();
    }
  });
  socket.on('error', () => socket.destroy());
  const closed = new Promise<void>((resolve) => {
    socket.on('close', () => {
      const error = new ResultError(ResultCode.ConnectionLost);
      rejectPeer(error);
      for (const call of [...pendingCalls.values()]) call.settle(undefined, error);
      for (const stream of [...openStreams.values()]) stream.end(error);
      for (const controller of [...activeHandlers.values()]) controller.abort();
      resolve();
    });
  });
  send([FrameKind.Hello, identity], CONNECTION_KIND);

  const call = async (kind: string, request: unknown, options: CallOptions): Promise<unknown> => {
    const id = nextId++;
    if (socket.destroyed) throw new ResultError(ResultCode.ConnectionLost);
    return new Promise((resolve, reject) => {
      const cleanUp = (): void => {
        pendingCalls.delete(id);
        clearTimeout(timer);
        options.signal?.removeEventListener('abort', onAbort);
        closeIfUnused();
      };
      const fail = (error: ResultError): void => {
        cleanUp();
        reject(error);
      };
      const cancel = (error: ResultError): void => {
        send([FrameKind.Cancel, id], kind);
        fail(error);
      };
      const onAbort = (): void => {
        cancel(new ResultError(ResultCode.ConnectionLost, 'the call was cancelled'));
      };
      const timer = setTimeout(() => {
        cancel(new ResultError(ResultCode.CallTimedOut, kind));
      }, options.timeoutMilliseconds);
      options.signal?.addEventListener('abort', onAbort, { once: true });
      pendingCalls.set(id, {
        settle: (reply, error) => {
          if (error !== undefined) {
            fail(error);
            return;
          }
          cleanUp();
          resolve(reply);
        },
      });
      send([FrameKind.Call, id, toWireKind(kind), request], kind);
    });
  };

  async function* stream(
    kind: string,
    request: unknown,
    options: Partial<CallOptions>,
  ): AsyncGenerator<unknown, void, undefined> {
    const id = nextId++;
    if (socket.destroyed) throw new ResultError(ResultCode.ConnectionLost);
    const queue = createItemQueue();
    openStreams.set(id, queue);
    const onAbort = (): void => {
      queue.end(new ResultError(ResultCode.ConnectionLost, 'the stream was cancelled'));
    };
    options.signal?.addEventListener('abort', onAbort, { once: true });
    const timer =
      options.timeoutMilliseconds === undefined
        ? undefined
        : setTimeout(() => {
            queue.end(new ResultError(ResultCode.CallTimedOut, kind));
          }, options.timeoutMilliseconds);
    send([FrameKind.StreamOpen, id, toWireKind(kind), request], kind);
    let isComplete = false;
    try {
      yield* queue.items();
      isComplete = true;
    } finally {
      openStreams.delete(id);
      clearTimeout(timer);
      options.signal?.removeEventListener('abort', onAbort);
      if (!isComplete) send([FrameKind.Cancel, id], kind);
      closeIfUnused();
    }
  }

  return {
    peer,
    closed,
    get counters() {
      return { sentBytes: socket.bytesWritten, receivedBytes: socket.bytesRead };
    },
    call: call as PeerConnection['call'],
    stream: stream as PeerConnection['stream'],
    notify: (kind, message) => {
      send([FrameKind.Notification, toWireKind(kind), message], kind);
    },
    get isRetired() {
      return isRetired || socket.destroyed;
    },
    retire: () => {
      isRetired = true;
      closeIfUnused();
    },
    destroy: () => {
      socket.destroy();
    },
    [Symbol.asyncDispose]: async () => {
      socket.end();
      socket.destroySoon();
      await closed;
    },
  };
}
