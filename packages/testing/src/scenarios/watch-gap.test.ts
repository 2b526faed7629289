import assert from 'node:assert/strict';
import { job } from '../index.js';
import { busyDeployment, testOnEachDeployment } from './deployments.js';
import { cancelAndConfirm, assertRecovery, jobId, followers } from './steps.js';

const PAGE_JOB_COUNT = 200;
/** More live jobs than one page holds. */
const QUEUED_JOB_COUNT = PAGE_JOB_COUNT + 60;
const LAST_QUEUED_JOB_NUMBER = 1000 + QUEUED_JOB_COUNT;

// A leader whose watch has fallen too far behind reads all live jobs again, page by page. It must
// know of jobs cancelled before and during that read as soon as it may answer heartbeats.
testOnEachDeployment(
  'a leader whose watch fell behind reads all live jobs again and learns of cancellations',
  (times) => {
    const cluster = busyDeployment(times, 2, 4, { expected_s: 400 }, { cpuLimit: 8 });
    const leader = cluster.leader()!;
    // These stay queued: the team is at its limit.
    for (let n = 1001; n <= LAST_QUEUED_JOB_NUMBER; n++) {
      cluster.submit(job(n, { batch: 1 }), cluster.nodeNames[n % 3]!);
      cluster.run(50);
    }
    // No message of a peer reaches the leader, while peers still receive its heartbeats.
    for (const node of followers(cluster)) cluster.network.cuts.add(`${node}>${leader}`);
    let pages = 0;
    cluster.stateLink.fault = (node, call) => {
      if (node === leader && call.path.startsWith('/changes')) return 'lost_before';
      return undefined;
    };
    cluster.run(2500);
    cluster.state.retainedChangeCount = 5;
    cancelAndConfirm(cluster, 1, followers(cluster)[0]!);
    for (let n = 1001; n <= 1010; n++) cluster.cancel(jobId(n), followers(cluster)[1]!);
    cluster.stateLink.fault = (node, call) => {
      if (node !== leader || !call.path.startsWith('/keys?starts=tealdock/live')) return undefined;
      // Cancels job 2 after the first page, which still shows it, has been read.
      if (++pages === 2) cluster.cancel(jobId(2), followers(cluster)[0]!);
      return undefined;
    };
    cluster.run(10_000);
    assert.ok(pages >= 2, `${pages} pages read`);
    assert.equal(cluster.leader(), leader);
    cluster.state.retainedChangeCount = 10_000;
    cluster.run(times.cancellationLimit);
    for (let n = 1011; n <= LAST_QUEUED_JOB_NUMBER; n++)
      cluster.cancel(jobId(n), cluster.nodeNames[n % 3]!);
    assertRecovery(cluster, [1, 2, 1001, LAST_QUEUED_JOB_NUMBER]);
  },
);
