/** Space between two columns, in characters. */
const COLUMN_GAP = 2;

/** Lines of a table with a head; columns are as wide as their widest cell. */
export function tableLines(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): readonly string[] {
  const all = [head, ...rows];
  const widths = head.map((_, column) => Math.max(...all.map((row) => (row[column] ?? '').length)));
  return all.map((row) =>
    row
      .map((cell, column) => cell.padEnd((widths[column] ?? 0) + COLUMN_GAP))
      .join('')
      .trimEnd(),
  );
}
