.PHONY: test demo measure soak start-faults environment

environment:
	tools/make_environment

test:
	bash .ci/run

demo: environment
	.venv/bin/python -m demo

measure: environment
	.venv/bin/python -m benchmarks $(NAME)

SEEDS = 50
soak:
	sh deploy/build
	python3 -m faults.soak --seeds $(SEEDS)

start-faults:
	sh deploy/build
	python3 -m faults
