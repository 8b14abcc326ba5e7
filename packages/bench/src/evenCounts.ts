/** Spreads a total over names as evenly as whole numbers allow; the first get the rest. */
export function evenCounts(
  names: readonly string[],
  total: number,
): Readonly<Record<string, number>> {
  return Object.fromEntries(
    names.map((name, index) => [
      name,
      Math.floor((total + names.length - 1 - index) / names.length),
    ]),
  );
}
