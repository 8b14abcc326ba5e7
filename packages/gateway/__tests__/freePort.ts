import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';

/** Returns a port of a host that nothing listened on a moment ago. */
export async function findFreePort(host: string): Promise<number> {
  const listener = createServer().listen(0, host);
  await once(listener, 'listening');
  const { port } = listener.address() as AddressInfo;
  listener.close();
  await once(listener, 'close');
  return port;
}
