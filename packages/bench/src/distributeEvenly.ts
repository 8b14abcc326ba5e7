/** Divides a total between names as evenly as possible; the first names get the remainder. */
export function distributeEvenly(
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
