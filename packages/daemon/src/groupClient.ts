/** Calls to a quorum group from any process; finds the leader by itself. */
export interface GroupClient {
  /**
   * Proposes a command and resolves with the result that the group's state gave when the command
   * was committed.
   *
   * @remarks
   * Rejects with `QuorumUnreachable` when the outcome is not known in time, and with
   * `LedgerUnreachable`, `NotLeader` or `GroupNotFormed` when the command was surely not proposed.
   */
  propose(group: string, command: unknown, timeoutMilliseconds: number): Promise<unknown>;
  /** Answers a query from the leader's state, confirmed by its lease or a quorum. */
  query(group: string, query: unknown, timeoutMilliseconds: number): Promise<unknown>;
}

/** Name of the group that holds the fleet's configuration. */
export const FLEET_GROUP = 'fleet';

/** Name of the group that holds the claims of services whose home is the data centre. */
export function ledgerGroup(dataCentre: string): string {
  return `ledger.${dataCentre}`;
}
