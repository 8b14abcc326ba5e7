import type { ReplicaMessage, ReplicaMessageBody } from '@burdockrail/agreement/replicaMessage.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { AgreementMessage } from '@burdockrail/protocol/protocolAgreement.js';

type Kind = ReplicaMessageBody['kind'];
type FieldsOf<Body> = readonly Exclude<keyof Body, 'kind'>[];

/** Fields of each kind of message in the order in which they travel, without their names. */
const fieldsByKind: {
  readonly [Name in Kind]: FieldsOf<Extract<ReplicaMessageBody, { readonly kind: Name }>>;
} = {
  append: ['term', 'previousIndex', 'previousTerm', 'entries', 'commitIndex', 'round', 'sentAt'],
  appendReply: ['term', 'accepted', 'index', 'round', 'sentAt'],
  voteRequest: ['trial', 'term', 'lastIndex', 'lastTerm'],
  voteReply: ['trial', 'term', 'granted'],
  install: ['term', 'snapshot', 'round', 'sentAt'],
  join: ['member'],
};

/** Kinds by their number on the wire. */
const kinds: readonly Kind[] = [
  'append',
  'appendReply',
  'voteRequest',
  'voteReply',
  'install',
  'join',
];

/** Form of a message on the wire; most of them are heartbeats, so names are left out. */
export function encodeReplicaMessage(group: string, message: ReplicaMessage): AgreementMessage {
  const { groupId, from, to, body } = message;
  const values = body as unknown as Readonly<Record<string, unknown>>;
  const fields = fieldsByKind[body.kind].map((field) => values[field]);
  return [group, groupId, from, to, kinds.indexOf(body.kind), ...fields];
}

/** Reads a message; throws a {@link ResultError} with `MessageMalformed` for any other form. */
export function decodeReplicaMessage(wire: AgreementMessage): ReplicaMessage {
  const [, groupId, from, to, number, ...values] = wire;
  const kind = kinds[number];
  if (kind === undefined || values.length !== fieldsByKind[kind].length) {
    throw new ResultError(ResultCode.MessageMalformed, 'a message of a quorum group');
  }
  const fields = fieldsByKind[kind].map((field, place) => [field, values[place]] as const);
  const body = { kind, ...Object.fromEntries(fields) } as ReplicaMessageBody;
  return { groupId, from, to, body };
}
