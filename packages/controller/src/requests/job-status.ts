/** The state of jobs as users see it. */
import type { JobView } from '@tealdock/wire';
import { AncestorCheck } from '../jobs/ancestor-check.js';
import type { JobLocateResult, JobLookup } from '../jobs/job-lookup.js';
import type { TaskCounts } from '../peers/peers.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Cancellations } from './cancellations.js';
import { errorReply, jobReply, unavailableReply, type Respond } from './replies.js';
import type { Reply } from '../runtime/ports.js';

/** Replies with the state of jobs, from reads of the state service after the request came. */
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

  /** Replies with the state of a job, or a 404 for an unknown one. */
  poll(id: string, respond: Respond): void {
    this.lookup.locate(id, (job) => {
      this.respondWith(id, job, errorReply(404, 'no such job'), respond);
    });
  }

  /** Replies with the state of a job that is known already, else with `replyIfUnknown`. */
  pollOrElse(id: string, replyIfUnknown: Reply, respond: Respond): void {
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
   * A live job is over all the same if one that it needs was cancelled: no leader may have
   * ended it yet. This node does so before it replies, so that no other node replies with an
   * older state afterwards.
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
