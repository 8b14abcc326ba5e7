import { randomInt } from 'node:crypto';

/** Name of the group that replicates the fleet's configuration. */
export const FLEET_GROUP = 'fleet';

/** Name of the group that replicates the claims of services whose home is the data centre. */
export function ledgerGroup(dataCentre: string): string {
  return `ledger.${dataCentre}`;
}

const RADIX = 36;
const TIME_DIGITS = 9;
const RANDOM_DIGITS = 6;

function toBase36Digits(value: number, count: number): string {
  return value.toString(RADIX).padStart(count, '0');
}

/** Creates an id that is greater, in string order, than earlier ones unless a clock is set back. */
export function createSortableId(now: Date = new Date()): string {
  const random = randomInt(RADIX ** RANDOM_DIGITS);
  return toBase36Digits(now.getTime(), TIME_DIGITS) + toBase36Digits(random, RANDOM_DIGITS);
}
