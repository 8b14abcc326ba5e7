import type { UpstreamView } from '@burdockrail/membership/upstreamDirectory.js';
import type { EntryServices } from './entryServices.js';
import type { IdentifiedRequest } from './requestTypes.js';

/** Chooses an upstream for a request's next attempt. */
export function chooseUpstream(
  services: EntryServices,
  request: IdentifiedRequest,
  excluded: ReadonlySet<string>,
): UpstreamView | undefined {
  const now = services.time.now();
  return services.router.choose(
    {
      candidates: services.directory.upstreamsOf(request.service.name, now),
      dataCentre: services.dataCentre,
      region: services.region,
      excluded,
      prefixes: request.prefixes,
      tieBreakKey: request.contentDigest,
      ...(request.versionDigest === undefined ? {} : { versionDigest: request.versionDigest }),
    },
    now,
  );
}
