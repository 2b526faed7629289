/**
 * The guard of a process's children: reads `add <pid>` and `remove <pid>` from standard input, and
 * kills what is left once its input ends, which it does with the process that writes it.
 */
import { createInterface } from 'node:readline';

const pids = new Set<number>();

function kill(pid: number): void {
  try {
    process.kill(pid, 'SIGKILL');
  } catch (error) {
    // It has ended since.
    if ((error as NodeJS.ErrnoException).code !== 'ESRCH') throw error;
  }
}

const input = createInterface({ input: process.stdin });
input.on('line', (line) => {
  const [verb, pid] = line.split(' ');
  if (verb === 'add') pids.add(Number(pid));
  else pids.delete(Number(pid));
});
input.on('close', () => pids.forEach(kill));
