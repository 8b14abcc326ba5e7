import type { RetryUsage } from '@burdockrail/limits/sharedRetryBudget.js';
import type { MetricFamily } from '@burdockrail/telemetry/metricsText.js';
import type { EntryContext } from './entryContext.js';

const gauges: readonly {
  readonly usage: keyof RetryUsage;
  readonly suffix: string;
  readonly help: string;
}[] = [
  { usage: 'spent', suffix: 'spent', help: 'Retries to a service in the last window.' },
  {
    usage: 'allowed',
    suffix: 'allowed',
    help: 'Retries to a service that this entry may send in a window.',
  },
  { usage: 'requests', suffix: 'requests', help: 'Requests for a service in the last window.' },
  {
    usage: 'slackPart',
    suffix: 'slack_part',
    help: 'Part of the slack of all entries that this one holds.',
  },
];

/** Families that tell, for each service, what an entry has spent of its share of the retries. */
export function retryBudgetFamilies({
  retryBudget,
  time,
}: Pick<EntryContext, 'retryBudget' | 'time'>): readonly MetricFamily[] {
  return gauges.map(({ usage, suffix, help }) => {
    const name = `burdockrail_retry_budget_${suffix}`;
    const samples = retryBudget.services.map((service) => {
      const value = retryBudget.usage(service, time.now())[usage];
      return { name, labels: { service }, value };
    });
    return { name, help, type: 'gauge', samples };
  });
}
