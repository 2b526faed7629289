/** Replies to users with the state of their jobs. */
import type { JobView } from '@tealdock/wire';
import { AncestorCheck } from '../jobs/ancestor-check.js';
import type { JobLocateResult, JobLookup } from '../jobs/job-lookup.js';
import type { TaskCounts } from '../peers/peers.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Cancellations } from './cancellations.js';
import { errorReply, jobReply, unavailableReply, type Respond } from './replies.js';
import type { Reply } from '../runtime/ports.js';

/** Replies with the state of a job, read from the state service after the request arrived. */
export class JobStatus {
  private readonly ancestorCheck: AncestorCheck;

  constructor(
    runtime: Runtime,
    private readonly lookup: JobLookup,
    private readonly cancellations: Cancellations,
    private readonly taskCountsOf: (id: string) => TaskCounts | undefined,
  ) {
    this.ancestorCheck = new AncestorCheck(runtime, lookup);
  }

  /** Replies with the state of a job; 404 if there is no such job. */
  replyWithState(id: string, respond: Respond): void {
    this.lookup.locate(id, (job) => {
      this.respondWith(id, job, errorReply(404, 'no such job'), respond);
    });
  }

  /** Replies with the state of a job if it exists, else with `replyIfUnknown`. */
  replyWithStateOrElse(id: string, replyIfUnknown: Reply, respond: Respond): void {
    this.lookup.read(id, (job) => this.respondWith(id, job, replyIfUnknown, respond));
  }

  private respondWith(
    id: string,
    job: JobLocateResult,
    replyIfUnknown: Reply,
    respond: Respond,
  ): void {
    if (job.kind === 'unknown') respond(unavailableReply());
    else if (job.kind === 'none') respond(replyIfUnknown);
    else if (job.kind === 'ended') respond(jobReply(job.view));
    else this.respondLive(id, respond);
  }

  /**
   * A live job counts as cancelled if a job that it needs, directly or indirectly, was cancelled.
   * The leader may not have ended it yet, so this node cancels it before replying: otherwise
   * another node could reply with an older state afterwards.
   */
  private respondLive(id: string, respond: Respond): void {
    this.ancestorCheck.check(id, (verdict) => {
      if (verdict === 'none_cancelled') respond(jobReply(this.liveView(id)));
      else if (verdict === 'unknown') respond(unavailableReply());
      else this.cancellations.cancel(id, respond);
    });
  }

  private liveView(id: string): JobView {
    const { done, running } = this.taskCountsOf(id) ?? { done: 0, running: 0 };
    return { id, state: running > 0 ? 'running' : 'queued', done, running };
  }
}
