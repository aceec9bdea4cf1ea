.PHONY: test demo measure environment

environment:
	tools/make_environment

test:
	bash .ci/run

demo: environment
	.venv/bin/python -m demo

measure: environment
	.venv/bin/python -m benchmarks $(NAME)
