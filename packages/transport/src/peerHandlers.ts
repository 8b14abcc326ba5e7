import type { PeerIdentity } from '@burdockrail/protocol/protocolAddress.js';
import type {
  CallKind,
  NotificationKind,
  PeerCalls,
  PeerNotifications,
  PeerStreams,
  StreamKind,
} from '@burdockrail/protocol/protocolKinds.js';

/** Context of the message that a handler processes. */
export interface PeerContext {
  readonly peer: PeerIdentity;
  /** Aborted when the caller cancels or its connection closes. */
  readonly signal: AbortSignal;
}

/** Receives the items that a stream handler sends. */
export interface StreamSink<Item> {
  /** Sends an item; resolves when the connection can accept more (backpressure). */
  write(item: Item): Promise<void>;
}

export type CallHandlers = {
  readonly [Kind in CallKind]?: (
    request: PeerCalls[Kind]['request'],
    context: PeerContext,
  ) => Promise<PeerCalls[Kind]['reply']>;
};

export type StreamHandlers = {
  readonly [Kind in StreamKind]?: (
    request: PeerStreams[Kind]['request'],
    sink: StreamSink<PeerStreams[Kind]['item']>,
    context: PeerContext,
  ) => Promise<void>;
};

export type NotificationHandlers = {
  readonly [Kind in NotificationKind]?: (
    message: PeerNotifications[Kind],
    context: PeerContext,
  ) => void;
};

/**
 * Message handlers of a process by kind. A call or stream of a kind without a handler is answered
 * with an error.
 */
export interface PeerHandlers {
  readonly calls: CallHandlers;
  readonly streams: StreamHandlers;
  readonly notifications: NotificationHandlers;
}

/** Merges the handlers of several components of a process. */
export function mergeHandlers(parts: readonly Partial<PeerHandlers>[]): PeerHandlers {
  return {
    calls: Object.assign({}, ...parts.map((part) => part.calls ?? {})) as CallHandlers,
    streams: Object.assign({}, ...parts.map((part) => part.streams ?? {})) as StreamHandlers,
    notifications: Object.assign(
      {},
      ...parts.map((part) => part.notifications ?? {}),
    ) as NotificationHandlers,
  };
}
