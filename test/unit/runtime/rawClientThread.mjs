/** Thread that writes bytes to connections at set times and notes what comes back, while the event loop of the test is blocked. */
import * as net from 'node:net'
import { parentPort, workerData } from 'node:worker_threads'

const { port, steps, endsAtMs } = workerData
const connections = new Map()

function connect (name) {
  const connection = { received: '', error: '' }
  connection.socket = net.connect(port, '127.0.0.1')
  connection.socket.on('data', chunk => { connection.received += chunk })
  connection.socket.on('error', error => { connection.error = error.code })
  connections.set(name, connection)
  return connection
}

for (const { atMs, name, text } of steps) {
  setTimeout(() => { (connections.get(name) ?? connect(name)).socket.write(text) }, atMs)
}
setTimeout(() => {
  parentPort.postMessage(Object.fromEntries([...connections].map(([name, { received, error }]) => [name, { received, error }])))
  for (const { socket } of connections.values()) socket.destroy()
}, endsAtMs)
parentPort.postMessage('started')
