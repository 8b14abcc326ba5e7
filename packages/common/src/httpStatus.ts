/** Statuses of final answers that HTTP defines (RFC 9110, section 15). */
const FIRST_FINAL_STATUS = 200;
const LAST_FINAL_STATUS = 599;

/** True if a status may end a request; an upstream that sends another one is disturbed. */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_FINAL_STATUS;
}
