import type { LogPosition, ReplicatedState } from '@burdockrail/agreement/replicatedState.js';
import { digestOf } from '@burdockrail/common/digest.js';

/** Latest configurations that the register keeps. */
const CONFIGURATIONS_KEPT = 8;

/** Latest orders whose answers the register keeps for resends. */
const ORDERS_KEPT = 4_096;

/** A configuration that the register accepted. */
export interface RegisteredConfiguration {
  readonly revision: number;
  readonly term: number;
  readonly digest: string;
  readonly document: string;
}

/** Commands of the fleet group. */
export type FleetCommand =
  | {
      readonly kind: 'apply';
      /** Equal for a resend of the same order. */
      readonly orderId: string;
      readonly expectedRevision: number;
      readonly document: string;
    }
  /** Records that a quorum group is about to be formed. */
  | { readonly kind: 'formGroup'; readonly group: string };

/** First and every later answer to one order. */
export type FleetApplyResult =
  | { readonly kind: 'accepted'; readonly revision: number; readonly digest: string }
  | { readonly kind: 'conflict'; readonly revision: number; readonly digest: string };

/** Result of a command. */
export type FleetResult = FleetApplyResult | { readonly kind: 'recorded'; readonly isNew: boolean };

/** Queries of the fleet group. */
export type FleetQuery = { readonly kind: 'current' } | { readonly kind: 'groups' };

/** Answers by kind of query. */
export interface FleetAnswers {
  readonly current: RegisteredConfiguration | null;
  readonly groups: readonly string[];
}

interface FleetRegisterSnapshot {
  readonly configurations: readonly RegisteredConfiguration[];
  readonly orders: readonly (readonly [string, FleetApplyResult])[];
  readonly groups: readonly string[];
}

/** Replicated state of the fleet group. */
export type FleetRegister = ReplicatedState<
  FleetCommand,
  FleetResult,
  FleetQuery,
  FleetAnswers[FleetQuery['kind']]
>;

/**
 * Creates an empty register.
 *
 * @remarks
 * Of several orders that expect the same revision, the first one committed is accepted and all
 * others get a conflict. A resend of an order gets the first answer, as long as it is among the
 * latest orders.
 */
export function createFleetRegister(): FleetRegister {
  let configurations: RegisteredConfiguration[] = [];
  let orders = new Map<string, FleetApplyResult>();
  let groups = new Set<string>();

  const remember = (orderId: string, result: FleetApplyResult): FleetApplyResult => {
    orders.set(orderId, result);
    const oldest = orders.keys().next().value;
    if (orders.size > ORDERS_KEPT && oldest !== undefined) orders.delete(oldest);
    return result;
  };

  const apply = (
    command: Extract<FleetCommand, { readonly kind: 'apply' }>,
    position: LogPosition,
  ): FleetApplyResult => {
    const first = orders.get(command.orderId);
    if (first !== undefined) return first;
    const current = configurations.at(-1);
    const revision = current?.revision ?? 0;
    if (command.expectedRevision !== revision) {
      return remember(command.orderId, {
        kind: 'conflict',
        revision,
        digest: current?.digest ?? '',
      });
    }
    const accepted: RegisteredConfiguration = {
      revision: revision + 1,
      term: position.term,
      digest: digestOf(command.document),
      document: command.document,
    };
    configurations = [...configurations, accepted].slice(-CONFIGURATIONS_KEPT);
    return remember(command.orderId, {
      kind: 'accepted',
      revision: accepted.revision,
      digest: accepted.digest,
    });
  };

  const formGroup = (group: string): FleetResult => {
    const isNew = !groups.has(group);
    groups.add(group);
    return { kind: 'recorded', isNew };
  };

  const answers: { readonly [Kind in FleetQuery['kind']]: () => FleetAnswers[Kind] } = {
    current: () => configurations.at(-1) ?? null,
    groups: () => [...groups],
  };

  return {
    apply: (command, position) =>
      command.kind === 'apply' ? apply(command, position) : formGroup(command.group),
    query: (query) => answers[query.kind](),
    snapshot: (): FleetRegisterSnapshot => ({
      configurations,
      orders: [...orders],
      groups: [...groups],
    }),
    restore: (snapshot) => {
      const restored = snapshot as FleetRegisterSnapshot;
      configurations = [...restored.configurations];
      orders = new Map(restored.orders);
      groups = new Set(restored.groups);
    },
  };
}
