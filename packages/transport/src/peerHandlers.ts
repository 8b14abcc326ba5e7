import type { PeerIdentity } from '@burdockrail/protocol/protocolAddress.js';
import type {
  CallKind,
  NotificationKind,
  PeerCalls,
  PeerNotifications,
  PeerStreams,
  StreamKind,
} from '@burdockrail/protocol/protocolKinds.js';

/** What a handler knows of the message that it handles. */
export interface PeerContext {
  readonly peer: PeerIdentity;
  /** Aborted when the caller cancels or its connection ends. */
  readonly signal: AbortSignal;
}

/** Takes the items of a stream's answer. */
export interface StreamSink<Item> {
  /** Sends one item; resolves when the connection takes more. */
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

/** Handlers of one process by kind of message; a kind without a handler is answered with an error. */
export interface PeerHandlers {
  readonly calls: CallHandlers;
  readonly streams: StreamHandlers;
  readonly notifications: NotificationHandlers;
}

/** Joins the handlers of several parts of a process into one table. */
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
