import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CHUNK_TASK_COUNT } from '../state/keys.js';
import { TaskProgress } from './task-progress.js';

const TASK_COUNT = CHUNK_TASK_COUNT + 3;
const LAST_TASK = TASK_COUNT - 1;

test('a task counts once, and is committed only when its chunk was stored', () => {
  const progress = new TaskProgress(TASK_COUNT);
  progress.markDone(5);
  progress.markDone(5);
  assert.equal(progress.doneTaskCount, 1);
  assert.ok(progress.isDone(5));
  assert.ok(!progress.isCommitted(5));
  progress.applyStoredChunk(0, progress.encodeChunk(0));
  assert.ok(progress.isCommitted(5));
  assert.equal(progress.doneTaskCount, 1);
});

test('another leader restores the stored progress chunk by chunk', () => {
  const before = new TaskProgress(TASK_COUNT);
  for (const index of [0, 7, 8, LAST_TASK]) before.markDone(index);
  assert.deepEqual([...before.uncommittedChunks()], [0, 1]);
  const after = new TaskProgress(TASK_COUNT);
  assert.deepEqual(after.applyStoredChunk(0, before.encodeChunk(0)), [0, 7, 8]);
  assert.deepEqual(after.applyStoredChunk(1, before.encodeChunk(1)), [LAST_TASK]);
  assert.equal(after.doneTaskCount, 4);
  assert.equal(after.uncommittedChunks().size, 0);
});

test('stored bits beyond the last task are ignored', () => {
  const progress = new TaskProgress(3);
  const allBits = Buffer.from([0xff]).toString('base64');
  assert.deepEqual(progress.applyStoredChunk(0, allBits), [0, 1, 2]);
  assert.ok(progress.isComplete);
});
