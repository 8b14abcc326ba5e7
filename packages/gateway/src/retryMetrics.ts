import type { RetryUsage } from '@burdockrail/limits/sharedRetryBudget.js';
import type { MetricFamily } from '@burdockrail/telemetry/metricsText.js';
import type { EntryContext } from './entryContext.js';

const gauges: readonly { readonly usage: keyof RetryUsage; readonly help: string }[] = [
  { usage: 'spent', help: 'Retries to a service in the last window.' },
  { usage: 'allowed', help: 'Retries to a service that this entry may send in a window.' },
  { usage: 'requests', help: 'Requests for a service in the last window.' },
];

/** Families that tell, for each service, what an entry has spent of its share of the retries. */
export function retryBudgetFamilies({
  retryBudget,
  clusterView,
  time,
}: Pick<EntryContext, 'retryBudget' | 'clusterView' | 'time'>): readonly MetricFamily[] {
  return gauges.map(({ usage, help }) => {
    const name = `burdockrail_retry_budget_${usage}`;
    const samples = retryBudget.services.map((service) => {
      const value = retryBudget.usage(service, clusterView.entries, time.now())[usage];
      return { name, labels: { service }, value };
    });
    return { name, help, type: 'gauge', samples };
  });
}
