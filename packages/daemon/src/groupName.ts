import { randomInt } from 'node:crypto';

/** Name of the group that holds the fleet's configuration. */
export const FLEET_GROUP = 'fleet';

/** Name of the group that holds the claims of services whose home is the data centre. */
export function ledgerGroup(dataCentre: string): string {
  return `ledger.${dataCentre}`;
}

const RADIX = 36;
const TIME_DIGITS = 9;
const RANDOM_DIGITS = 6;

function digits(value: number, count: number): string {
  return value.toString(RADIX).padStart(count, '0');
}

/** A name that is greater as a text than those made before, as long as no clock goes back. */
export function risingName(now: Date = new Date()): string {
  const random = randomInt(RADIX ** RANDOM_DIGITS);
  return digits(now.getTime(), TIME_DIGITS) + digits(random, RANDOM_DIGITS);
}
