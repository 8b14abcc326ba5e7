/** Gap between two columns, in characters. */
const COLUMN_GAP = 2;

/** Formats a table with a header; each column is as wide as its widest cell. */
export function tableLines(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): readonly string[] {
  const allRows = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...allRows.map((row) => (row[column] ?? '').length)),
  );
  return allRows.map((row) =>
    row
      .map((cell, column) => cell.padEnd((widths[column] ?? 0) + COLUMN_GAP))
      .join('')
      .trimEnd(),
  );
}
