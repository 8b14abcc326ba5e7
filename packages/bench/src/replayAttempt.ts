import type { ReplayEntry } from './replayEntry.js';
import type { StreamArrival } from './replayTraffic.js';
import type { ReplayNotice } from './replayTypes.js';

/** One attempt of a caller. */
export interface Attempt {
  readonly arrival: StreamArrival;
  readonly entry: ReplayEntry;
  readonly refuse: (freeInMilliseconds: number | null) => void;
  readonly finish: (outcome: 'onTime' | 'late', firstMilliseconds: number) => void;
  /** The engine has crashed; the request is sent again if another attempt is left. */
  readonly interrupted: () => void;
  /** The engine rests; the request is sent again if another attempt is left. */
  readonly refusedByEngine: () => void;
  readonly onSent: (engine: string) => void;
  readonly onNotice: (notice: Omit<ReplayNotice, 'entry'>) => void;
}
