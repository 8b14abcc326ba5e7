import { createByteCollector, type ByteCollectorLimits } from './byteCollector.js';

/**
 * Reads a body to its end; `null` if it exceeds a limit.
 *
 * @remarks
 * The rest of a body that is too long is read and dropped: leaving the iteration early would destroy
 * the connection on which its sender waits for an answer.
 */
export async function readBoundedBody(
  body: AsyncIterable<Uint8Array>,
  limits: ByteCollectorLimits,
): Promise<Buffer | null> {
  const collector = createByteCollector(limits);
  let isWithinLimits = true;
  try {
    for await (const part of body) isWithinLimits = collector.add(part);
    return isWithinLimits ? collector.take() : null;
  } finally {
    collector.close();
  }
}
