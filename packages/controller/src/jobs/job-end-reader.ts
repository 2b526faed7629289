/** Reads from the state service how jobs have ended. */
import type { Duration } from '@tealdock/wire';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { endedKey } from '../state/keys.js';
import type { StateStore } from '../state/state-store.js';
import { readEnded, type EndedValue } from '../state/stored-values.js';

const READ_RETRY_MS: Duration = 400;
/** A new term may need hundreds of ends, and has other things to read. */
const MAX_CONCURRENT_READ_COUNT = 12;

/** The end of a job as its key says, or as this leader has committed it. */
export interface JobEnd extends Pick<EndedValue, 'state' | 'at'> {
  /** Revision of the commit that wrote the ended key. */
  revision: number;
}

/** Decides whether a read is still worth it, and takes in what was read. */
interface JobEndConsumer {
  /** True once nothing more is to be read. */
  readonly isClosed: boolean;
  /** True if the job is live as far as is known, so that it has no end to be read. */
  isLive(id: string): boolean;
  /** True while the end is of use to anyone. */
  needsEnd(id: string): boolean;
  onEndRead(id: string, end: JobEnd): void;
}

/** Reads ended keys, a few at a time, in the order of the requests. Failed reads are repeated. */
export class JobEndReader {
  private readonly queue = new Set<string>();
  private runningReadCount = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly consumer: JobEndConsumer,
  ) {}

  /** Has no effect while the job waits to be read already. */
  request(id: string): void {
    this.queue.add(id);
    this.startReads();
  }

  private startReads(): void {
    for (const id of this.queue) {
      if (this.runningReadCount >= MAX_CONCURRENT_READ_COUNT || this.consumer.isClosed) return;
      this.queue.delete(id);
      this.runningReadCount++;
      this.read(id);
    }
  }

  private read(id: string): void {
    this.state.getValue(endedKey(id), readEnded, PRIORITY.leader, (result) => {
      this.runningReadCount--;
      if (result.kind === 'found') this.consumer.onEndRead(id, endOf(result));
      // Neither live nor ended: it was accepted, and the event that says so is under way.
      else if (result.kind === 'failed' || !this.consumer.isLive(id)) this.retry(id);
      this.startReads();
    });
  }

  private retry(id: string): void {
    this.runtime.after(READ_RETRY_MS, () => {
      if (!this.consumer.isClosed && this.consumer.needsEnd(id)) this.request(id);
    });
  }
}

/** What an ended key says, with the revision that wrote it. */
export function endOf({ value, version }: { value: EndedValue; version: number }): JobEnd {
  return { state: value.state, at: value.at, revision: version };
}
