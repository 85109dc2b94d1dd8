// Embeds the example answer files in a TypeScript module, so that the executable doesn't read them from disk.
import { readFileSync, readdirSync, writeFileSync } from 'node:fs'

const FOLDER = 'packages/config/examples'
const OUTPUT = 'packages/config/src/generated/examples.ts'

const names = readdirSync(FOLDER).filter(name => name.endsWith('.yaml')).sort()
const entries = names.map(name => `  ${name.replace('.yaml', '')}: ${JSON.stringify(readFileSync(`${FOLDER}/${name}`, 'utf8'))}`)
writeFileSync(OUTPUT, `/** Example answers as YAML text, written by scripts/embedExamples.mjs. */\nexport const exampleAnswerTexts = {\n${entries.join(',\n')}\n}\n`)
