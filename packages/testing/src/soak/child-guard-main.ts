/**
 * Guard process for the children of another process: reads `add <pid>` and `remove <pid>` lines
 * from standard input and kills the remaining children when the input ends. The input ends when
 * the process that writes it ends.
 */
import { createInterface } from 'node:readline';

const pids = new Set<number>();

function kill(pid: number): void {
  try {
    process.kill(pid, 'SIGKILL');
  } catch (error) {
    // ESRCH: the child has already ended.
    if ((error as NodeJS.ErrnoException).code !== 'ESRCH') throw error;
  }
}

const input = createInterface({ input: process.stdin });
input.on('line', (line) => {
  const [action, pid] = line.split(' ');
  if (action === 'add') pids.add(Number(pid));
  else pids.delete(Number(pid));
});
input.on('close', () => pids.forEach(kill));
