import type {
  CallKind,
  NotificationKind,
  StreamKind,
} from '@burdockrail/protocol/protocolKinds.js';

/**
 * Message kinds that are encoded as an integer, which is the position of the kind in this list.
 *
 * @remarks
 * New kinds must be appended. Kinds that are not listed are encoded as strings.
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
  'directory.depart',
];

const numberByKind: ReadonlyMap<string, number> = new Map(
  numberedKinds.map((kind, index) => [kind, index]),
);

/** Encoded form of a message kind in a frame. */
export type WireKind = string | number;

/** Encodes a message kind in its shortest form. */
export function toWireKind(kind: string): WireKind {
  return numberByKind.get(kind) ?? kind;
}

/** Decodes a message kind; an unknown number gives a kind that has no handler. */
export function fromWireKind(wireKind: WireKind): string {
  return typeof wireKind === 'string'
    ? wireKind
    : (numberedKinds[wireKind] ?? `unknown.${wireKind}`);
}
