/** Compares by UTF-16 code units, independently of the machine's locale. */
export function compareStrings(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

/** A string that occurs in a list more than once. */
export interface RepeatedString {
  readonly text: string;
  readonly count: number;
}

/** Finds strings that occur more than once, in the order of their first occurrence. */
export function findRepeatedStrings(strings: readonly string[]): readonly RepeatedString[] {
  const counts = new Map<string, number>();
  for (const text of strings) counts.set(text, (counts.get(text) ?? 0) + 1);
  return [...counts].filter(([, count]) => count > 1).map(([text, count]) => ({ text, count }));
}
