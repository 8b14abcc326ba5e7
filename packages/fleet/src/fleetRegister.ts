import type { LogPosition, ReplicatedState } from '@burdockrail/agreement/replicatedState.js';
import { digestOf } from '@burdockrail/common/digest.js';

/** Number of latest configurations that the register keeps. */
const MAXIMUM_CONFIGURATIONS = 8;

/** Number of latest orders whose results the register keeps, to answer resent orders. */
const MAXIMUM_STORED_RESULTS = 4_096;

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
      /** The same in all resends of one order. */
      readonly orderId: string;
      readonly expectedRevision: number;
      readonly document: string;
    }
  /** Records that a quorum group is about to be formed. */
  | { readonly kind: 'formGroup'; readonly group: string };

/** Result of an order; resends get the same one. */
export type FleetApplyResult =
  | { readonly kind: 'accepted'; readonly revision: number; readonly digest: string }
  | { readonly kind: 'conflict'; readonly revision: number; readonly digest: string };

/** Result of a command. */
export type FleetResult = FleetApplyResult | { readonly kind: 'recorded'; readonly isNew: boolean };

/** Queries of the fleet group. */
export type FleetQuery = { readonly kind: 'current' } | { readonly kind: 'groups' };

/** Result types by kind of query. */
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
 * others get a conflict. A resent order gets its stored result, as long as it is among the latest
 * orders.
 */
export function createFleetRegister(): FleetRegister {
  let configurations: RegisteredConfiguration[] = [];
  let orders = new Map<string, FleetApplyResult>();
  let groups = new Set<string>();

  const storeResult = (orderId: string, result: FleetApplyResult): FleetApplyResult => {
    orders.set(orderId, result);
    const oldest = orders.keys().next().value;
    if (orders.size > MAXIMUM_STORED_RESULTS && oldest !== undefined) orders.delete(oldest);
    return result;
  };

  const apply = (
    command: Extract<FleetCommand, { readonly kind: 'apply' }>,
    position: LogPosition,
  ): FleetApplyResult => {
    const storedResult = orders.get(command.orderId);
    if (storedResult !== undefined) return storedResult;
    const current = configurations.at(-1);
    const revision = current?.revision ?? 0;
    if (command.expectedRevision !== revision) {
      return storeResult(command.orderId, {
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
    configurations = [...configurations, accepted].slice(-MAXIMUM_CONFIGURATIONS);
    return storeResult(command.orderId, {
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

  const queryHandlers: { readonly [Kind in FleetQuery['kind']]: () => FleetAnswers[Kind] } = {
    current: () => configurations.at(-1) ?? null,
    groups: () => [...groups],
  };

  return {
    apply: (command, position) =>
      command.kind === 'apply' ? apply(command, position) : formGroup(command.group),
    query: (query) => queryHandlers[query.kind](),
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
