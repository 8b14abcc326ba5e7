import type { ResultCode } from '@burdockrail/common/resultCode.js';
import type { WireKind } from './messageKinds.js';
import type { PeerIdentity } from '@burdockrail/protocol/protocolAddress.js';

/** Kinds of frames, encoded as the first element of a frame. */
export enum FrameKind {
  Hello = 0,
  Notification = 1,
  Call = 2,
  Reply = 3,
  Error = 4,
  StreamOpen = 5,
  StreamItem = 6,
  StreamEnd = 7,
  Cancel = 8,
}

/** A frame between two processes; a plain `number` is the id of the call or stream. */
export type PeerFrame =
  | readonly [FrameKind.Hello, PeerIdentity]
  | readonly [FrameKind.Notification, WireKind, unknown]
  | readonly [FrameKind.Call, number, WireKind, unknown]
  | readonly [FrameKind.Reply, number, unknown]
  | readonly [FrameKind.Error, number, ResultCode, string]
  | readonly [FrameKind.StreamOpen, number, WireKind, unknown]
  | readonly [FrameKind.StreamItem, number, unknown]
  | readonly [FrameKind.StreamEnd, number]
  | readonly [FrameKind.Cancel, number];

/** Checks whether a decoded message is an array that starts with a frame kind. */
export function isPeerFrame(message: unknown): message is PeerFrame {
  return Array.isArray(message) && typeof message[0] === 'number' && message[0] in FrameKind;
}
