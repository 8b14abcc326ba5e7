/** Order by code units, which does not depend on the locale of the machine. */
export function compareTexts(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

/** A text that stands in a list more than once. */
export interface RepeatedText {
  readonly text: string;
  readonly count: number;
}

/** Texts that stand in a list more than once, in the order of their first places. */
export function repeatedTexts(texts: readonly string[]): readonly RepeatedText[] {
  const counts = new Map<string, number>();
  for (const text of texts) counts.set(text, (counts.get(text) ?? 0) + 1);
  return [...counts].filter(([, count]) => count > 1).map(([text, count]) => ({ text, count }));
}
