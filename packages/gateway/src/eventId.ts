const idPattern = /^id:[ ]?(\d+)\r?$/mu;

/** Numeric id of a server-sent event; `null` if it has none. */
export function readEventId(event: Buffer): number | null {
  const match = idPattern.exec(event.toString('latin1'));
  return match?.[1] === undefined ? null : Number(match[1]);
}
