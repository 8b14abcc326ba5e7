/**
 * Reads a body to its end; `null` if it is longer than `maximumBytes`.
 *
 * @remarks
 * The rest of a body that is too long is read and dropped: leaving the iteration early would destroy
 * the connection on which its sender waits for an answer.
 */
export async function readBoundedBody(
  body: AsyncIterable<Buffer>,
  maximumBytes: number,
): Promise<Buffer | null> {
  let parts: Buffer[] = [];
  let size = 0;
  for await (const part of body) {
    size += part.length;
    if (size > maximumBytes) parts = [];
    else parts.push(part);
  }
  return size > maximumBytes ? null : Buffer.concat(parts, size);
}
