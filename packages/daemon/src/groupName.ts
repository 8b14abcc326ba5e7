/** Name of the group that holds the fleet's configuration. */
export const FLEET_GROUP = 'fleet';

/** Name of the group that holds the claims of services whose home is the data centre. */
export function ledgerGroup(dataCentre: string): string {
  return `ledger.${dataCentre}`;
}
