import { inflateRawSync } from 'node:zlib';
import type { CompressedConfiguration } from '@burdockrail/protocol/protocolDirectory.js';
import type { Dialect } from './dialect.js';

/**
 * Creates a function that tells whether the latest configuration names a service; it says so of all
 * services while there is no configuration.
 */
export function createConfiguredServices(
  dialect: Pick<Dialect, 'decodeConfiguration'>,
  latest: () => CompressedConfiguration | null,
): (service: string) => boolean {
  let version = 0;
  let names: ReadonlySet<string> | null = null;

  const update = (): void => {
    const configuration = latest();
    if (configuration === null || configuration.version === version) return;
    version = configuration.version;
    const document = inflateRawSync(configuration.document).toString('utf8');
    const decoded = dialect.decodeConfiguration(document);
    // Control processes validate configurations before committing.
    if (decoded.kind === 'success') names = new Set(decoded.value.services.map(({ name }) => name));
  };

  return (service) => {
    update();
    return names?.has(service) ?? true;
  };
}
