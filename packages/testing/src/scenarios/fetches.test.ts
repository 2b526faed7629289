import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SimulatedCluster } from '../index.js';
import { job } from '../index.js';
import { jobId, assertNoViolations, readyCluster } from './steps.js';

/** Submits jobs of one task each; every job has an image of its own, of `gb` GB. */
function submitJobsWithOwnImages(
  cluster: SimulatedCluster,
  from: number,
  count: number,
  gb: number,
  node = 'n-0',
): void {
  for (let n = from; n < from + count; n++) {
    cluster.submit(job(n, { batch: 1, bundle: `img-${n}`, image_gb: gb, expected_s: 5 }), node);
  }
}

/**
 * Runs the cluster until these jobs are done. Returns how many images the machine with the most
 * fetches was fetching after the first 4 s.
 */
function maxConcurrentFetches(cluster: SimulatedCluster, from: number, count: number): number {
  cluster.run(4000);
  const maxCount = Math.max(
    ...[...cluster.workers.values()].map((w) => w.imagesBeingFetched().length),
  );
  const numbers = Array.from({ length: count }, (_, i) => from + i);
  const done = () => numbers.every((n) => cluster.checker.doneTasks(jobId(n)).size === 1);
  assert.ok(cluster.runUntil(done, 200_000));
  assertNoViolations(cluster);
  return maxCount;
}

// A machine with capacity for dozens of tasks was made to fetch dozens of images concurrently, and
// each fetch took minutes.
test('a machine whose fetches share a rate is given few different images at once', () => {
  const cluster = readyCluster({ capacity: 2, fetches: { gbPerS: 1, shared: true } }, 2);
  submitJobsWithOwnImages(cluster, 1, 8, 8);
  assert.ok(maxConcurrentFetches(cluster, 1, 8) <= 2);
  submitJobsWithOwnImages(cluster, 11, 8, 8);
  assert.ok(maxConcurrentFetches(cluster, 11, 8) <= 2);
});

test('once fetches are known not to share a rate, all capacity of a machine is used at once', () => {
  const cluster = readyCluster({ capacity: 2, fetches: { gbPerS: 1, shared: false } }, 2);
  for (let from = 1; from < 60; from += 10) {
    submitJobsWithOwnImages(cluster, from, 8, 6);
    maxConcurrentFetches(cluster, from, 8);
  }
  submitJobsWithOwnImages(cluster, 71, 8, 6);
  assert.equal(maxConcurrentFetches(cluster, 71, 8), 4);
});

// Beside another fetch, a small image takes many times as long as alone, but still little time.
test('a task with a small image starts on a machine that is fetching another image', () => {
  const cluster = readyCluster({ capacity: 1, fetches: { gbPerS: 1, shared: true } }, 1);
  submitJobsWithOwnImages(cluster, 1, 1, 4);
  cluster.run(1500);
  submitJobsWithOwnImages(cluster, 2, 1, 0.1);
  cluster.run(2000);
  assert.equal([...cluster.workers.values()][0]!.tasks.length, 2);
});

// Each new leader assumed again that fetches share a rate, and left capacity unused.
test('a new leader knows whether fetches share a rate', () => {
  const cluster = readyCluster({ capacity: 2, fetches: { gbPerS: 1, shared: false } }, 2);
  for (let from = 1; from < 60; from += 10) {
    submitJobsWithOwnImages(cluster, from, 8, 6);
    maxConcurrentFetches(cluster, from, 8);
  }
  cluster.run(6000);
  cluster.crash(cluster.leader()!);
  cluster.run(25_000);
  submitJobsWithOwnImages(cluster, 71, 8, 6, [...cluster.processes.running.keys()][0]);
  assert.equal(maxConcurrentFetches(cluster, 71, 8), 4);
});

test('an image that a machine fetches again no longer counts as present there', () => {
  const cluster = readyCluster({ capacity: 1, fetches: { gbPerS: 1, shared: true } }, 1);
  submitJobsWithOwnImages(cluster, 1, 1, 20);
  maxConcurrentFetches(cluster, 1, 1);
  const worker = [...cluster.workers.values()][0]!;
  worker.clearImageCache();
  cluster.submit(job(2, { batch: 1, bundle: 'img-1', image_gb: 20, expected_s: 5 }), 'n-0');
  cluster.run(2500);
  assert.deepEqual(worker.imagesBeingFetched(), ['img-1']);
  // Behind that fetch, smaller images would arrive too late.
  submitJobsWithOwnImages(cluster, 3, 2, 8);
  assert.equal(maxConcurrentFetches(cluster, 2, 3), 1);
});
