import assert from 'node:assert/strict';
import { job } from '../index.js';
import { busyDeployment, testOnEachDeployment } from './deployments.js';
import { cancelAndConfirm, assertRecovery, jobId, followers } from './steps.js';

const PAGE_SIZE = 200;
/** More live jobs than one page holds. */
const QUEUED_JOB_COUNT = PAGE_SIZE + 60;
const LAST_QUEUED_JOB = 1000 + QUEUED_JOB_COUNT;

// Guarded against: a leader whose watch has fallen too far behind reads all live jobs page by
// page. Jobs cancelled before and during that read must be known as soon as it may answer.
testOnEachDeployment(
  'a leader whose watch is too old reads the live jobs anew and knows what is cancelled',
  (times) => {
    const cluster = busyDeployment(times, 2, 4, { expected_s: 400 }, { cpuLimit: 8 });
    const leader = cluster.leader()!;
    // They find no room: the team is at its limit.
    for (let n = 1001; n <= LAST_QUEUED_JOB; n++) {
      cluster.submit(job(n, { batch: 1 }), cluster.nodeNames[n % 3]!);
      cluster.run(50);
    }
    // Nobody tells it, while the others hear that it is there.
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
      // Cancelled once the first page has been read, which still shows it.
      if (++pages === 2) cluster.cancel(jobId(2), followers(cluster)[0]!);
      return undefined;
    };
    cluster.run(10_000);
    assert.ok(pages >= 2, `${pages} pages read`);
    assert.equal(cluster.leader(), leader);
    cluster.state.retainedChangeCount = 10_000;
    cluster.run(times.cancellationLimit);
    for (let n = 1011; n <= LAST_QUEUED_JOB; n++)
      cluster.cancel(jobId(n), cluster.nodeNames[n % 3]!);
    assertRecovery(cluster, [1, 2, 1001, LAST_QUEUED_JOB]);
  },
);
