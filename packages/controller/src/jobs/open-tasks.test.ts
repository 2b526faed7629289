import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OpenTasks } from './open-tasks.js';

const ANY = () => true;
const indices = (tasks: OpenTasks) => tasks.list().map(({ index }) => index);

test('windows are opened in order, without tasks that are done or bound', () => {
  const tasks = new OpenTasks(5);
  tasks.openWindows({ now: 10, isGang: false, isWaiting: (index) => index !== 1 });
  assert.deepEqual(indices(tasks), [0, 2, 3, 4]);
  assert.ok(tasks.list().every(({ windowOpenedAt }) => windowOpenedAt === 10));
});

test('a requeued task gets a window before tasks that never had one', () => {
  const tasks = new OpenTasks(1000);
  tasks.openWindows({ now: 0, isGang: false, isWaiting: ANY });
  const limit = tasks.count;
  assert.ok(limit < 1000);
  tasks.close(0);
  tasks.close(1);
  tasks.requeue(0);
  tasks.openWindows({ now: 1, isGang: false, isWaiting: ANY });
  assert.equal(tasks.count, limit);
  assert.deepEqual(indices(tasks).slice(-2), [0, limit]);
});

test('all tasks of a gang have their window open at the same time', () => {
  const tasks = new OpenTasks(1000);
  tasks.openWindows({ now: 0, isGang: true, isWaiting: ANY });
  assert.equal(tasks.count, 1000);
});
