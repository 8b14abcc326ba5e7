import type {
  CallKind,
  NotificationKind,
  StreamKind,
} from '@burdockrail/protocol/protocolKinds.js';

/**
 * Kinds of messages that travel as a number, which is the kind's place in this list.
 *
 * @remarks
 * Kinds are only ever added at the end; others travel as texts.
 */
const numberedKinds: readonly (CallKind | StreamKind | NotificationKind)[] = [
  'membership.beat',
  'membership.renew',
  'membership.load',
  'membership.update',
  'membership.announce',
  'agreement.message',
  'group.propose',
  'group.query',
  'attempt.run',
  'attempt.fence',
  'configuration.watch',
  'directory.watch',
  'place.claim',
  'place.release',
  'chunk.read',
  'chunk.list',
  'place.withdraw',
];

const numberByKind: ReadonlyMap<string, number> = new Map(
  numberedKinds.map((kind, place) => [kind, place]),
);

/** Form of a kind inside a frame. */
export type WireKind = string | number;

/** Shortest form of a kind. */
export function toWireKind(kind: string): WireKind {
  return numberByKind.get(kind) ?? kind;
}

/** Kind of a frame; a number that is not known here gives a kind without a handler. */
export function fromWireKind(wire: WireKind): string {
  return typeof wire === 'string' ? wire : (numberedKinds[wire] ?? `unknown.${wire}`);
}
