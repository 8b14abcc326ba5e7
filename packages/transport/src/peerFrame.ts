import type { ResultCode } from '@burdockrail/common/resultCode.js';
import type { WireKind } from './messageKinds.js';
import type { PeerIdentity } from '@burdockrail/protocol/protocolAddress.js';

/** Kinds of frames, by the number in their first place. */
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

/** A frame between two processes; `id` pairs answers with what they answer. */
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

/** Tells whether a decoded message has the outer form of a frame. */
export function isPeerFrame(message: unknown): message is PeerFrame {
  return Array.isArray(message) && typeof message[0] === 'number' && message[0] in FrameKind;
}
