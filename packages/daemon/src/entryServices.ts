import type { TimeSource } from '@burdockrail/common/timeSource.js';
import type { RetryBudget } from '@burdockrail/limits/retryBudget.js';
import type { UpstreamDirectory } from '@burdockrail/membership/upstreamDirectory.js';
import type { UpstreamRouter } from '@burdockrail/routing/upstreamRouter.js';
import type { BackgroundTasks } from './entryBackground.js';
import type { LedgerClient } from './ledgerClient.js';
import type { PeerClient } from '@burdockrail/transport/peerClient.js';
import type { EntryMetrics } from './metricsEntry.js';
import type { Quarantine } from './requestQuarantine.js';
import type { AttemptRunner } from './requestAttempt.js';

/** Dependencies shared by the filters of the request pipeline. */
export interface EntryServices {
  readonly dataCentre: string;
  readonly region: string;
  readonly time: TimeSource;
  readonly directory: UpstreamDirectory;
  readonly client: PeerClient;
  readonly ledger: LedgerClient;
  readonly backgroundTasks: BackgroundTasks;
  readonly router: UpstreamRouter;
  readonly retryBudget: RetryBudget;
  readonly attempts: AttemptRunner;
  readonly metrics: EntryMetrics;
  readonly quarantine: Quarantine;
}
