import type { ReplicaMessage, ReplicaMessageBody } from '@burdockrail/agreement/replicaMessage.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { AgreementMessage } from '@burdockrail/protocol/protocolAgreement.js';

type Kind = ReplicaMessageBody['kind'];
type FieldNames<Body> = readonly Exclude<keyof Body, 'kind'>[];

/** Fields of each message kind, in wire order; the names themselves are not sent. */
const fieldsByKind: {
  readonly [Name in Kind]: FieldNames<Extract<ReplicaMessageBody, { readonly kind: Name }>>;
} = {
  append: [
    'term',
    'previousIndex',
    'previousTerm',
    'entries',
    'commitIndex',
    'round',
    'sentAt',
    'confirmedAge',
    'lastReply',
  ],
  appendReply: ['term', 'accepted', 'index', 'round', 'sentAt', 'stamp'],
  voteRequest: ['trial', 'term', 'lastIndex', 'lastTerm'],
  voteReply: ['trial', 'term', 'granted'],
  install: ['term', 'snapshot', 'round', 'sentAt', 'confirmedAge', 'lastReply'],
  join: ['member'],
  resign: ['successor'],
};

/** Message kinds; the position of a kind is its number on the wire. */
const kindsByNumber: readonly Kind[] = [
  'append',
  'appendReply',
  'voteRequest',
  'voteReply',
  'install',
  'join',
  'resign',
];

/** Encodes a message without field names, because most messages are heartbeats. */
export function encodeReplicaMessage(group: string, message: ReplicaMessage): AgreementMessage {
  const { groupId, from, to, body } = message;
  const values = body as unknown as Readonly<Record<string, unknown>>;
  const fields = fieldsByKind[body.kind].map((field) => values[field]);
  return [group, groupId, from, to, kindsByNumber.indexOf(body.kind), ...fields];
}

/**
 * Decodes a message.
 *
 * @throws {@link ResultError} with `MessageMalformed` for an unknown kind or a wrong field count.
 */
export function decodeReplicaMessage(wire: AgreementMessage): ReplicaMessage {
  const [, groupId, from, to, kindNumber, ...values] = wire;
  const kind = kindsByNumber[kindNumber];
  if (kind === undefined || values.length !== fieldsByKind[kind].length) {
    throw new ResultError(
      ResultCode.MessageMalformed,
      'message of a quorum group: unknown kind or wrong field count',
    );
  }
  const fields = fieldsByKind[kind].map((field, position) => [field, values[position]] as const);
  const body = { kind, ...Object.fromEntries(fields) } as ReplicaMessageBody;
  return { groupId, from, to, body };
}
